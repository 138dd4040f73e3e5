"""Requests to replicas over HTTP/1.1, as the platform has them."""

import gevent
from gevent import socket
from geventhttpclient.response import HTTPParseError

from cactusridge.clock import Clock
from cactusridge.dispatch.upstream import (
    ConnectFailed,
    Exchange,
    HeaderList,
    Upstream,
    UpstreamHead,
    UpstreamRequest,
    UpstreamSilent,
)
from cactusridge.errors import CrossedReply, OutcomeUnknown, TruncatedReply
from cactusridge.fleet.replica import Replica
from cactusridge.platform import names
from cactusridge.platform.connections import Connections, idle_s
from cactusridge.platform.replica_probe import (
    MISDIRECTED,
    is_there,
    is_wait_over,
)
from cactusridge.platform.reply_parser import ReplyParser
from cactusridge.platform.request_writer import request_bytes

BLOCK = 65_536

# A replica may answer before it has read a long body; such a body goes
# out beside the reading. Shorter ones fit the windows of a connection.
LONG_BODY = 8_192
SEND_TIMEOUT_S = 1


class HttpExchange(Exchange):
    """One request under way on one connection."""

    def __init__(
        self,
        replica: Replica,
        req: UpstreamRequest,
        sock: socket.socket,
        connections: Connections,
    ) -> None:
        """Read the answer to ``req`` from ``sock``."""
        self._replica = replica
        self._req = req
        self._sock = sock
        self._connections = connections
        self._parser = ReplyParser(req.method)
        self._sender: gevent.Greenlet | None = None
        self._broken = False
        self._closed = False

    def start(self, raw: bytes) -> None:
        """Send the request; raise OutcomeUnknown when it breaks."""
        if len(raw) > LONG_BODY:
            self._sender = gevent.spawn(self._send_quietly, raw)
            return
        self._sock.settimeout(SEND_TIMEOUT_S)
        try:
            self._sock.sendall(raw)
        except OSError as exc:
            self._broken = True
            raise OutcomeUnknown(f'cut while sending: {exc!r}') from exc

    def head(self, wait_s: float) -> UpstreamHead:
        """Return the head of the answer, checked."""
        while not self._parser.headed:
            try:
                self._feed(wait_s)
            except HTTPParseError as exc:
                raise CrossedReply(f'no answer: {exc!r}') from exc
            except OSError as exc:
                raise OutcomeUnknown(f'cut: {exc!r}') from exc
        return self._checked(self._parser.header_list())

    def read(self, wait_s: float) -> bytes:
        """Return the next bytes of the body."""
        while True:
            taken = self._parser.take()
            if taken or self._parser.whole:
                return taken
            try:
                self._feed(wait_s)
            except (HTTPParseError, OSError) as exc:
                raise TruncatedReply(repr(exc)) from exc

    def close(self) -> None:
        """Give the connection back, or close it."""
        if self._closed:
            return
        self._closed = True
        sent = self._sender is None or self._sender.ready()
        if self._sender is not None:
            self._sender.kill(block=False)
        if self._broken or not sent or not self._parser.reusable():
            self._sock.close()
            return
        stated = self._parser.get('Keep-Alive', '')
        keep_s = idle_s(str(stated))
        self._connections.give_back(self._replica.life, self._sock, keep_s)

    def abort(self) -> None:
        """Shut the connection; whoever waits on it gets its end."""
        self._broken = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # It is shut already, which is what was asked for.
            return

    def _feed(self, wait_s: float) -> None:
        received = self._receive(wait_s)
        if not received:
            self._broken = True
        if not (received or self._parser.headed):
            raise ConnectionResetError('closed before an answer')
        try:
            self._parser.feed(received)
        except HTTPParseError:
            self._broken = True
            # Bytes after a whole answer belong to nobody; the answer
            # stands, the connection goes.
            if not self._parser.whole:
                raise
        if not (received or self._parser.whole):
            raise ConnectionResetError('closed before the end')

    def _receive(self, wait_s: float) -> bytes:
        self._sock.settimeout(max(wait_s, 0))
        try:
            return self._sock.recv(BLOCK)
        except OSError as exc:
            if is_wait_over(exc):
                raise UpstreamSilent(f'nothing for {wait_s:.3f} s') from exc
            self._broken = True
            raise

    def _checked(self, headers: HeaderList) -> UpstreamHead:
        by_name = {name.lower(): text for name, text in headers}
        not_run = names.NOT_RUN.lower() in by_name
        wrong_one = self._parser.status == MISDIRECTED
        echoed = by_name.get(names.REQUEST_ID.lower(), '')
        mine = echoed == self._req.id
        if not mine and (echoed or not (not_run or wrong_one)):
            self._broken = True
            raise CrossedReply(f'the answer is to {echoed or "nothing"}')
        return UpstreamHead(
            self._parser.status,
            [
                (name, text)
                for name, text in headers
                if name.lower() not in names.HOP_BY_HOP
            ],
            not_run,
            wrong_one,
            mine and names.SIGNATURE.lower() in by_name,
        )

    def _send_quietly(self, raw: bytes) -> None:
        """Send a long request; the reading side tells of a cut."""
        try:
            self._sock.sendall(raw)
        except OSError:
            self._broken = True


class HttpUpstream(Upstream):
    """Sends requests on kept connections."""

    def __init__(self, clock: Clock) -> None:
        """Start without connections."""
        self.connections = Connections(clock)

    def send(
        self,
        replica: Replica,
        req: UpstreamRequest,
        left_s: float,
        fresh: bool = False,
    ) -> Exchange:
        """Send ``req`` to ``replica``, which alone may run it."""
        raw = request_bytes(replica, req, left_s)
        if fresh:
            sock = self.connections.connect(replica.address)
        else:
            sock = self.connections.take(replica.life, replica.address)
        exchange = HttpExchange(replica, req, sock, self.connections)
        try:
            exchange.start(raw)
        except BaseException:
            exchange.close()
            raise
        return exchange

    def lives(self, replica: Replica) -> bool:
        """Tell whether ``replica`` itself is still at its address."""
        try:
            sock = self.connections.connect(replica.address)
        except ConnectFailed:
            return False
        with sock:
            return is_there(sock, replica)
