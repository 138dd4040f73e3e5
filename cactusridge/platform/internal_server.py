"""Serves the internal endpoints of a direct entry."""

from cactusridge.http.app import App, Route
from cactusridge.http.client import parse_address
from cactusridge.http.server import Server
from cactusridge.work_meter import InnerCallGreenlet

# Largest body of a request to an internal server, in bytes.
MAX_INTERNAL_BODY_BYTES = 65_536
# Seconds within which the body of a request has to arrive.
INTERNAL_TIMEOUT_S = 2.0


def start_internal(listen: str, idle_timeout_s: float, *routes: Route) -> None:
    """Start a server of ``routes`` at ``listen``, a host and a port."""
    app = App(routes, MAX_INTERNAL_BODY_BYTES, INTERNAL_TIMEOUT_S)
    Server(
        parse_address(listen),
        app,
        idle_timeout_s,
        greenlets=InnerCallGreenlet,
    ).start()
