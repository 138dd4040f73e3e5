"""Closes a connection in the middle of a request."""

import contextlib
import socket

from cactusridge.http.exchange import SOCKET_KEY, Req


def close_connection(req: Req) -> None:
    """Shut down the connection of ``req`` without sending a response."""
    with contextlib.suppress(OSError):
        req.environ[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
