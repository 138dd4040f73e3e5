"""Serves one connection of gevent's WSGI server."""

import contextlib
import io
import socket
from http import HTTPStatus
from typing import Any

import gevent
from gevent import pywsgi

from cactusridge import events, logs
from cactusridge.errors import Draining, StopLimit
from cactusridge.http.blocked_write import send_now
from cactusridge.http.connection_ends import Connection, Stage
from cactusridge.http.exchange import (
    HEADERS_KEY,
    REQUEST_KEY,
    SOCKET_KEY,
    TARGET_KEY,
)
from cactusridge.http.header_section import check_framing, read_section
from cactusridge.http.readable import is_readable
from cactusridge.http.request_reader import (
    MAX_HEAD_BYTES,
    MAX_REST_BYTES,
    REST_TIMEOUT_S,
    RequestReader,
    TooMuchReceived,
)
from cactusridge.http.unreadable import raw_reply, refusal

SERVER_FAULT = 500
# The system's send buffer of a connection, in bytes; Linux reserves twice as
# much. It would grow to some megabytes for a caller that does not read.
SEND_BUFFER_BYTES = 131_072
# Seconds to wait for the rest of a body after its request was cut.
CUT_BODY_S = 0.05
# The reply to a request that has not arrived in full at the end of a stop.
REFUSAL = raw_reply(
    HTTPStatus(Draining.status),
    Draining(retry_after_s=0),
    'Retry-After: 0\r\n',
)


class Handler(pywsgi.WSGIHandler, Connection):
    """Handles one connection; counts the requests in flight."""

    def __init__(self, sock: socket.socket, *args: Any) -> None:
        """Take the arguments of the library's handler."""
        self._reader = RequestReader(sock)
        super().__init__(sock, *args, io.BufferedReader(self._reader))
        self._stage = Stage.idle
        self._greenlet = gevent.getcurrent()

    @property
    def stage(self) -> Stage:
        """What the connection is being used for."""
        if self._stage == Stage.waiting and self.headers_sent:
            return Stage.answering
        return self._stage

    def close_if_idle(self) -> None:
        """Close the connection if no byte of a request has arrived."""
        if self._stage == Stage.idle and not is_readable(self.socket):
            self.shut_down()

    def cut(self) -> None:
        """Fail the request in progress, with a reply if none has begun."""
        if self._stage == Stage.reading and self.wsgi_input is None:
            with contextlib.suppress(OSError):
                send_now(self.socket, memoryview(REFUSAL))
            self._greenlet.kill(block=False)
        elif self._stage != Stage.idle:
            self.socket.settimeout(CUT_BODY_S)
            self._greenlet.kill(StopLimit(), block=False)

    def shut_down(self) -> None:
        """Break the connection; the greenlet that reads sees its end."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

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
        self.server.ends.open.add(self)
        try:
            super().handle()
        finally:
            self.server.ends.open.discard(self)

    def read_requestline(self) -> str:
        """Wait for a request and return its first line."""
        self._stage = Stage.idle
        self.wsgi_input = None
        self._reader.unbound()
        self.rfile.peek(1)
        self._stage = Stage.reading
        self._reader.bound(MAX_HEAD_BYTES, self.server.header_limit_s())
        return super().read_requestline()

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with this project's keys added.

        They hold the socket, and the target and the headers of the request
        in their original form.
        """
        self._reader.unbound()
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[TARGET_KEY] = self.path
        environ[HEADERS_KEY] = list(self.headers.items())
        return environ

    def MessageClass(self, rfile: Any, *args: Any) -> Any:  # noqa: N802
        """Return the headers; raise ValueError for malformed ones."""
        message = super().MessageClass(read_section(rfile), *args)
        check_framing(message.items(), self.request_version)
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
        if self.server.is_late():
            self.application = self.server.late_application
        else:
            self._stage = Stage.waiting
        try:
            super().handle_one_response()
        finally:
            self.server.active -= 1
            if self._reader.exceeded:
                self.close_connection = True

    def run_application(self) -> None:
        """Answer the request; the library then reads the rest of its body."""
        try:
            super().run_application()
        finally:
            self._reader.bound(MAX_REST_BYTES, REST_TIMEOUT_S)

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

        That is after the last one while the server is draining, and after one
        to a request whose body has not arrived in time: the late rest of it
        could be mistaken for the next request.
        """
        is_last = self.server.draining and not self._has_input()
        if is_last or self.code == HTTPStatus.REQUEST_TIMEOUT:
            # The library has encoded the other headers at this point.
            self.response_headers.append((b'Connection', b'close'))
            self.close_connection = True
        super().finalize_headers()

    def _handle_client_error(self, exc: Exception) -> Any:
        """Return the reply to a request that cannot be read, and its status."""
        if isinstance(exc, TooMuchReceived | TimeoutError):
            logs.emit(events.CONNECTION_BROKEN, error=repr(exc))
            return str(HTTPStatus.REQUEST_TIMEOUT.value), b''
        return super()._handle_client_error(exc)

    def _has_input(self) -> bool:
        """Return, without waiting, whether bytes have arrived."""
        limit_s = self.socket.gettimeout()
        self.socket.settimeout(0)
        try:
            return bool(self.rfile.peek(1))
        except OSError:
            return False
        finally:
            self.socket.settimeout(limit_s)

    def _sendall(self, chunk: bytes) -> None:
        """Send a part of a reply; the library calls this for every part."""
        request = self.environ.get(REQUEST_KEY, '')
        self.server.writes.send(self.socket, chunk, request)
        self.response_length += len(chunk)
