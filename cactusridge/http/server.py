"""gevent's WSGI server with read timeouts and graceful draining."""

import socket
from http import HTTPStatus
from typing import Any

import gevent
from gevent import pywsgi
from gevent.pool import Pool

from cactusridge import events, logs
from cactusridge.clock import BootClock, Clock
from cactusridge.http.caller_writes import CallerWrites, WriteLimits
from cactusridge.http.exchange import (
    HEADERS_KEY,
    REQUEST_KEY,
    SOCKET_KEY,
    TARGET_KEY,
)
from cactusridge.http.late_refusal import LateRefusal
from cactusridge.http.unreadable import refusal
from cactusridge.work_meter import CallGreenlet, PartGreenlet

# The library writes no log of its own.
SILENT_LOG = None
# Seconds between two checks of a drain.
POLL_S = 0.05
# Seconds without a request after which a drain may end: requests on
# connections that are already accepted may still be in transit.
QUIET_S = 0.3
SERVER_FAULT = 500
# The system's send buffer of a connection, in bytes; Linux reserves twice as
# much. It would grow to some megabytes for a caller that does not read.
SEND_BUFFER_BYTES = 131_072


class Handler(pywsgi.WSGIHandler):
    """Handles one connection; counts the requests in flight."""

    def handle(self) -> None:
        """Serve the connection until it has been idle for too long."""
        self.socket.settimeout(self.server.idle_timeout_s)
        # Head and body are sent by two writes. With Nagle's algorithm the
        # second would wait up to 40 ms for the peer's delayed
        # acknowledgement.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        super().handle()

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with this project's keys added.

        They hold the socket, and the target and the headers of the request
        in their original form.
        """
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[TARGET_KEY] = self.path
        environ[HEADERS_KEY] = list(self.headers.items())
        return environ

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Return the headers; raise ValueError for an ambiguous body length.

        With both Transfer-Encoding and Content-Length the library would
        ignore the length, while a proxy in front of this server may have
        ignored the chunks.
        """
        message = super().MessageClass(*args)
        if 'transfer-encoding' in message and 'content-length' in message:
            raise ValueError(
                'Transfer-Encoding and Content-Length are both set'
            )
        return message

    def handle_one_request(self) -> Any:
        """Serve one request; send a JSON error if it cannot be parsed."""
        outcome = super().handle_one_request()
        if isinstance(outcome, tuple):
            status = HTTPStatus(int(outcome[0]))
            return str(status.value), refusal(status)
        return outcome

    def handle_one_response(self) -> None:
        """Serve one request and count it while it is in flight."""
        self.server.active += 1
        if self.server.rejects_requests:
            self.application = self.server.late_application
        try:
            super().handle_one_response()
        finally:
            self.server.active -= 1

    def log_error(self, msg: str, *args: Any) -> None:
        """Log an error of the library as an event of the catalogue."""
        logs.emit(events.CONNECTION_BROKEN, error=msg % args)

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Log the error without a traceback and end the connection."""
        logs.emit(events.CONNECTION_BROKEN, error=repr(error))
        if self.response_length:
            self.close_connection = True
        else:
            self._send_error_response_if_possible(SERVER_FAULT)

    def finalize_headers(self) -> None:
        """Close the connection after some replies.

        That is after each one while the server is draining, and after one to
        a request whose body has not arrived in time: the late rest of it could
        be mistaken for the next request.
        """
        if self.server.draining or self.code == HTTPStatus.REQUEST_TIMEOUT:
            # The library has encoded the other headers at this point.
            self.response_headers.append((b'Connection', b'close'))
            self.close_connection = True
        super().finalize_headers()

    def _sendall(self, chunk: bytes) -> None:
        """Send a part of a reply; the library calls this for every part."""
        request = self.environ.get(REQUEST_KEY, '')
        self.server.writes.send(self.socket, chunk, request)
        self.response_length += len(chunk)


class Server(pywsgi.WSGIServer):
    """An HTTP server that can stop without interrupting a request."""

    handler_class = Handler

    def __init__(
        self,
        address: tuple[str, int],
        application: Any,
        idle_timeout_s: float,
        late_application: Any = None,
        greenlets: type[PartGreenlet] = CallGreenlet,
    ) -> None:
        """Serve ``application`` at ``address``, an IP address and a port.

        ``late_application`` replies to requests that arrive too late in a
        drain, by default with LateRefusal. Each connection is served by a
        greenlet of the class ``greenlets``.
        """
        super().__init__(
            address,
            application,
            spawn=Pool(greenlet_class=greenlets),
            log=SILENT_LOG,
            error_log=SILENT_LOG,
        )
        self.idle_timeout_s = idle_timeout_s
        self.writes = CallerWrites(WriteLimits())
        self.late_application = late_application or LateRefusal()
        self.clock: Clock = BootClock()
        self.active = 0
        self.draining = False
        # Whether new requests are rejected, because the process may exit
        # before they end.
        self.rejects_requests = False

    def update_environ(self) -> None:
        """Set the server's name to its address, without a name lookup.

        The library looks up the host name. Other greenlets would run during
        the lookup, in the middle of the start, and without a name server it
        takes seconds.
        """
        self.environ['SERVER_NAME'] = str(self.address[0])
        self.environ.setdefault('SERVER_PORT', str(self.address[1]))

    def drain(self, bound_s: float) -> bool:
        """Stop accepting connections and wait for requests in flight.

        Waits at most ``bound_s`` seconds and returns whether all requests
        ended. After ``QUIET_S`` new requests on idle connections are
        rejected, even while others are in flight, because the end of the
        process could interrupt them.
        """
        self.draining = True
        self.close()
        started_at = self.clock.monotonic()
        last_busy_at = started_at
        now = started_at
        while now - last_busy_at < QUIET_S and now - started_at < bound_s:
            gevent.sleep(POLL_S)
            now = self.clock.monotonic()
            if self.active:
                last_busy_at = now
            self.rejects_requests = now - started_at >= QUIET_S
        self.rejects_requests = True
        return not self.active
