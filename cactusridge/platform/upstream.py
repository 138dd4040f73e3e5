"""Sends requests to replicas over HTTP/1.1 with the platform's headers."""

import gevent
from gevent import socket
from geventhttpclient.response import HTTPParseError

from cactusridge.clock import Clock
from cactusridge.dispatch.upstream import (
    ConnectFailed,
    ConnectTimedOut,
    Exchange,
    HeaderList,
    UnknownProcess,
    Upstream,
    UpstreamHead,
    UpstreamRequest,
    UpstreamSilent,
)
from cactusridge.errors import CrossedReply, OutcomeUnknown, TruncatedReply
from cactusridge.fleet.process_evidence import ProcessEvidence
from cactusridge.fleet.replica import Replica
from cactusridge.http.peer_end import confirm_end
from cactusridge.http.receive_turns import ReceiveTurns
from cactusridge.platform import names
from cactusridge.platform.connections import (
    Connections,
    idle_limit_s,
    sending_socket,
)
from cactusridge.platform.process_check import ProcessCheck
from cactusridge.platform.prompt_parts import shared_parts
from cactusridge.platform.replica_probe import (
    MISDIRECTED,
    is_read_timeout,
    is_running,
)
from cactusridge.platform.reply_parser import ReplyParser
from cactusridge.platform.request_writer import request_bytes

RECV_BYTES = 65_536

# Longest request, in bytes, that is sent before the response is read: it fits
# the TCP windows of a connection. Another greenlet sends a longer one, because
# the replica may respond before it has read the whole body.
MAX_INLINE_REQUEST_BYTES = 8_192
SEND_TIMEOUT_S = 1


class HttpExchange(Exchange):
    """One request in progress on one connection."""

    def __init__(
        self,
        replica: Replica,
        req: UpstreamRequest,
        sock: socket.socket,
        connections: Connections,
        check: ProcessCheck | None = None,
    ) -> None:
        """Send ``req`` and read its response on ``sock``."""
        self._check = check or ProcessCheck(connections)
        self._replica = replica
        self._req = req
        self._sock = sock
        self._connections = connections
        self._parser = ReplyParser(req.method)
        self._turns = ReceiveTurns()
        self._clock = connections.clock
        self._sender: gevent.Greenlet | None = None
        self._broken = False
        self._aborted = False
        self._closed = False

    def start(self, raw: bytes) -> None:
        """Send ``raw``; raise OutcomeUnknown, or ConnectFailed if unsent."""
        if len(raw) > MAX_INLINE_REQUEST_BYTES:
            self._sender = gevent.spawn(
                self._send_in_background, sending_socket(self._sock), raw
            )
            return
        self._sock.settimeout(SEND_TIMEOUT_S)
        try:
            self._sock.sendall(raw)
        except OSError as exc:
            self._lose()
            raise OutcomeUnknown(
                f'the connection broke while sending: {exc!r}'
            ) from exc

    def head(self, wait_s: float) -> UpstreamHead:
        """Return the head of the response if it belongs to the request.

        Raises UpstreamSilent after ``wait_s`` seconds without a whole head,
        OutcomeUnknown if the connection breaks, and CrossedReply for bytes
        that are no response to this request.
        """
        end_at = self._clock.monotonic() + wait_s
        while not self._parser.head_complete:
            try:
                self._feed(end_at, wait_s)
            except HTTPParseError as exc:
                raise CrossedReply(f'not an HTTP response: {exc!r}') from exc
            except OSError as exc:
                raise OutcomeUnknown(f'the connection broke: {exc!r}') from exc
        return self._checked_head(self._parser.header_list())

    def read(self, wait_s: float) -> bytes:
        """Return the next bytes of the body, none at its end.

        Raises UpstreamSilent after ``wait_s`` seconds without a byte of the
        body, and TruncatedReply if the body breaks off.
        """
        end_at = self._clock.monotonic() + wait_s
        while True:
            taken = self._parser.take_body()
            if taken or self._parser.complete:
                return taken
            try:
                self._feed(end_at, wait_s)
            except (HTTPParseError, OSError) as exc:
                raise TruncatedReply(repr(exc)) from exc

    def close(self) -> None:
        """Return the connection to the pool, or close it if it is unusable."""
        if self._closed:
            return
        self._closed = True
        sent = self._sender is None or self._sender.ready()
        if self._sender is not None:
            self._sender.kill(block=False)
        if self._broken or not sent or self._parser.should_close():
            self._sock.close()
            return
        stated = self._parser.get('Keep-Alive', '')
        keep_s = idle_limit_s(str(stated))
        self._connections.release(self._replica.incarnation, self._sock, keep_s)

    def abort(self) -> None:
        """Shut the connection down; a greenlet that reads it sees its end.

        After ``close`` the connection may belong to another request.
        """
        if self._closed:
            return
        self._broken = True
        self._aborted = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The connection is already shut down.
            return

    def is_listed_process(self) -> bool:
        """Return whether the listed incarnation is at the other end."""
        return self._check.is_certain(self._replica, self._sock)

    def ask_process(self) -> None:
        """Ask the replica which incarnation it is, on another connection."""
        self._check.ask(self._replica)

    def _lose(self) -> None:
        """Record that the connection ended before its answer."""
        self._broken = True
        if self._aborted:
            return
        self._connections.evidence.record_end(self._replica.incarnation)

    def _feed(self, end_at: float, wait_s: float) -> None:
        """Parse the next bytes, awaited until ``end_at``.

        ``wait_s`` is the whole wait in seconds, for the error message.
        """
        received = self._receive(end_at, wait_s)
        self._turns.record(len(received))
        if not received:
            self._broken = True
        if not (received or self._parser.ends_with_connection):
            self._lose()
        if not (received or self._parser.head_complete):
            raise ConnectionResetError('connection closed before a response')
        try:
            self._parser.feed(received)
        except HTTPParseError:
            self._broken = True
            # Invalid bytes after a complete response belong to no request:
            # the response is kept and the connection is closed.
            if not self._parser.complete:
                raise
        if not (received or self._parser.complete):
            raise ConnectionResetError('connection closed before the end')

    def _receive(self, end_at: float, wait_s: float) -> bytes:
        self._sock.settimeout(self._left_s(end_at))
        try:
            received = self._sock.recv(RECV_BYTES)
            if not received and self._parser.ends_with_connection:
                self._confirm_end(end_at)
        except OSError as exc:
            if is_read_timeout(exc):
                raise UpstreamSilent(f'silent for {wait_s:.3f} s') from exc
            self._lose()
            raise
        return received

    def _confirm_end(self, end_at: float) -> None:
        """Return once the replica, which has ended its answer, has the request.

        Raises ConnectionResetError if the connection broke, on either half,
        and TimeoutError if the request is still being sent at ``end_at``.
        """
        if self._sender is not None:
            self._sender.join(self._left_s(end_at))
            if not self._sender.ready():
                raise TimeoutError('the request is still being sent')
        if self._broken:
            raise ConnectionResetError('the connection broke while sending')
        confirm_end(self._sock, self._left_s(end_at))

    def _left_s(self, end_at: float) -> float:
        return max(end_at - self._clock.monotonic(), 0)

    def _checked_head(self, headers: HeaderList) -> UpstreamHead:
        by_name = {name.lower(): text for name, text in headers}
        not_run = names.NOT_RUN.lower() in by_name
        misdirected = self._parser.status == MISDIRECTED
        echoed = by_name.get(names.REQUEST_ID.lower(), '')
        is_own = echoed == self._req.id
        if not is_own and (echoed or not (not_run or misdirected)):
            self._broken = True
            raise CrossedReply(f'response to request {echoed or "(no id)"}')
        return UpstreamHead(
            self._parser.status,
            [
                (name, text)
                for name, text in headers
                if name.lower() not in names.HOP_BY_HOP
            ],
            not_run,
            misdirected,
            is_own and names.SIGNATURE.lower() in by_name,
        )

    def _send_in_background(self, sock: socket.socket, raw: bytes) -> None:
        """Send a long request; the reader raises if the connection breaks."""
        try:
            with sock:
                sock.sendall(raw)
        except OSError:
            self._broken = True


class HttpUpstream(Upstream):
    """Sends requests over pooled connections."""

    def __init__(
        self, clock: Clock, evidence: ProcessEvidence | None = None
    ) -> None:
        """Start with an empty pool; know processes by ``evidence``."""
        self._clock = clock
        self.connections = Connections(clock, evidence)
        self._check = ProcessCheck(self.connections)

    def send(
        self,
        replica: Replica,
        req: UpstreamRequest,
        left_s: float,
        new_connection: bool = False,
    ) -> Exchange:
        """Send ``req`` to ``replica``, the only one that may run it.

        ``left_s`` is the remaining time in seconds. If ``new_connection`` is
        set, the request goes out on a new connection. Raises ConnectFailed or
        OutcomeUnknown. A stream that goes on at a software version is sent to
        the listed process alone; UnknownProcess, a ConnectFailed, is raised
        unless that is known to be at the other end.
        """
        raw = request_bytes(replica, req, left_s)
        sock = self._connection(replica, new_connection)
        is_bound = req.resume_after is not None and bool(replica.version)
        if is_bound and not self._check.confirm(replica, sock):
            sock.close()
            raise UnknownProcess(f'{replica.id} may be another process')
        exchange = HttpExchange(
            replica, req, sock, self.connections, self._check
        )
        try:
            exchange.start(raw)
        except BaseException:
            exchange.close()
            raise
        return exchange

    def is_running(self, replica: Replica, connect_s: float) -> bool:
        """Return whether ``replica`` is still running at its address.

        Connecting is tried once at least, and for ``connect_s`` seconds: the
        queue of new connections of a silent replica may be full.
        """
        end_at = self._clock.monotonic() + connect_s
        while True:
            try:
                sock = self.connections.connect(replica.address)
            except ConnectTimedOut:
                if self._clock.monotonic() >= end_at:
                    return False
            except ConnectFailed:
                return False
            else:
                with sock:
                    return is_running(sock, replica)

    def shared_parts(self, headers: HeaderList) -> tuple[str, ...]:
        """Return the keys of all parts of a prompt but the last, in order."""
        return shared_parts(headers)

    def _connection(
        self, replica: Replica, new_connection: bool
    ) -> socket.socket:
        """Return a connection to ``replica``; raise ConnectFailed."""
        try:
            if new_connection:
                return self.connections.connect(replica.address)
            return self.connections.acquire(
                replica.incarnation, replica.address
            )
        except ConnectFailed:
            self.connections.evidence.record_end(replica.incarnation)
            raise
