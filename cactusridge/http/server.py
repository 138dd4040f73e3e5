"""gevent's WSGI server with time-outs on reading and a graceful stop."""

import socket
from http import HTTPStatus
from typing import Any

import gevent
from gevent import pywsgi
from gevent.pool import Pool

from cactusridge import events, logs
from cactusridge.clock import BootClock, Clock
from cactusridge.http.exchange import HEADERS_KEY, SOCKET_KEY, TARGET_KEY
from cactusridge.http.late_refusal import LateRefusal
from cactusridge.http.unreadable import refusal
from cactusridge.work_meter import CallGreenlet, PartGreenlet

SILENT_LOG = None
POLL_S = 0.05
# A server without work is quiet only after this many seconds: requests on
# connections that it has accepted may still be on their way.
QUIET_S = 0.3
SERVER_FAULT = 500


class Handler(pywsgi.WSGIHandler):
    """Handles one connection; counts the requests in work."""

    def handle(self) -> None:
        """Serve the connection; a silent one is closed after a time."""
        self.socket.settimeout(self.server.idle_timeout_s)
        # Head and body go out as two writes; with Nagle's algorithm the
        # second waits for the peer's delayed acknowledgement, 40 ms.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment, with the socket to watch."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[TARGET_KEY] = self.path
        environ[HEADERS_KEY] = list(self.headers.items())
        return environ

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Return the headers; raise for a body whose end is in doubt.

        The library would drop the length and go by the chunks; whoever
        stands before us may have done the opposite.
        """
        message = super().MessageClass(*args)
        if 'transfer-encoding' in message and 'content-length' in message:
            raise ValueError('the length of the body is stated twice')
        return message

    def handle_one_request(self) -> Any:
        """Serve one request; refuse an unreadable one as all others are."""
        outcome = super().handle_one_request()
        if isinstance(outcome, tuple):
            status = HTTPStatus(int(outcome[0]))
            return str(status.value), refusal(status)
        return outcome

    def handle_one_response(self) -> None:
        """Serve one request, counted while it is in work."""
        self.server.active += 1
        if self.server.drained:
            self.application = self.server.late_application
        try:
            super().handle_one_response()
        finally:
            self.server.active -= 1

    def log_error(self, msg: str, *args: Any) -> None:
        """Write what the library reports as a numbered event."""
        logs.emit(events.CONNECTION_BROKEN, error=msg % args)

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """End the connection; no traceback for what is said already."""
        logs.emit(events.CONNECTION_BROKEN, error=repr(error))
        if self.response_length:
            self.close_connection = True
        else:
            self._send_error_response_if_possible(SERVER_FAULT)

    def finalize_headers(self) -> None:
        """Close the connection after this reply once draining."""
        if self.server.draining:
            # Encoded already at this point, as all others are.
            self.response_headers.append((b'Connection', b'close'))
            self.close_connection = True
        super().finalize_headers()


class Server(pywsgi.WSGIServer):
    """An HTTP server that can stop without cutting a request."""

    handler_class = Handler

    def __init__(
        self,
        address: tuple[str, int],
        application: Any,
        idle_timeout_s: float,
        late_application: Any = None,
        greenlets: type[PartGreenlet] = CallGreenlet,
    ) -> None:
        """Serve ``application`` at ``address``, an IP number and a port.

        ``late_application`` answers what comes too late into a drain.
        Each connection is served by one of ``greenlets``.
        """
        super().__init__(
            address,
            application,
            spawn=Pool(greenlet_class=greenlets),
            log=SILENT_LOG,
            error_log=SILENT_LOG,
        )
        self.idle_timeout_s = idle_timeout_s
        self.late_application = late_application or LateRefusal()
        self.clock: Clock = BootClock()
        self.active = 0
        self.draining = False
        # From then on requests are refused: the process may end before
        # they do.
        self.drained = False

    def update_environ(self) -> None:
        """Name this server by its address, without a name lookup.

        The library looks its name up, for which other greenlets run in
        the middle of a start, seconds long where no names are served.
        """
        self.environ['SERVER_NAME'] = str(self.address[0])
        self.environ.setdefault('SERVER_PORT', str(self.address[1]))

    def drain(self, bound_s: float) -> bool:
        """Stop accepting, wait for requests in work; tell if all ended.

        Waits ``bound_s`` seconds at most. What comes later than ``QUIET_S``,
        on a connection that idled until then, could be cut by the end of
        the process: it is refused, however long others are in work.
        """
        self.draining = True
        self.close()
        begun_at = self.clock.monotonic()
        busy_at = begun_at
        now = begun_at
        while now - busy_at < QUIET_S and now - begun_at < bound_s:
            gevent.sleep(POLL_S)
            now = self.clock.monotonic()
            if self.active:
                busy_at = now
            self.drained = now - begun_at >= QUIET_S
        self.drained = True
        return not self.active
