"""Sockets and clients whose timeouts ignore pauses of this process."""

import contextlib
import functools
from collections.abc import Callable, Iterator
from typing import Any

from gevent import socket
from geventhttpclient import HTTPClient, client
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPSocketPoolResponse

from cactusridge.http.pooled_reply import PooledReply
from cactusridge.http.readable import is_readable, is_writable
from cactusridge.http.receive_turns import ReceiveTurns
from cactusridge.http.unpaused_time import UnpausedTimeout

# How often a call that changes nothing is sent again because its connection
# broke, before the call fails.
MAX_RESENDS = 2
# Most bytes of the heads of a reply, with what follows them at once.
MAX_HEAD_BYTES = 262_144

# The library has no other way to choose the class of its replies.
client.HTTPSocketPoolResponse = PooledReply


class ReplyTooLong(OSError):
    """A reply, or its head, is longer than its bound."""


@contextlib.contextmanager
def wait_limit(
    seconds: float,
    awaited: str,
    is_ready: Callable[[], bool],
) -> Iterator[None]:
    """Limit a wait; raise TimeoutError unless ``is_ready`` at its end.

    A socket that is ready when the timeout expires is still used: the loop
    gets the events of at most 64 sockets per iteration, and in the last
    iteration other greenlets may have run for long. ``awaited`` names the
    operation in the error message.
    """
    limit = UnpausedTimeout(seconds)
    try:
        with limit:
            yield
    except UnpausedTimeout as exc:
        if exc is not limit:
            raise
        if not is_ready():
            raise TimeoutError(exc.timeout_message(awaited)) from exc


class UnpausedSocket(socket.socket):
    """A socket that times out only if its peer was silent.

    The timeout limits connecting, each wait for bytes, and each wait for
    space in the send buffer, in seconds without pauses of this process.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Take the arguments of a socket; bytes without end are bounded."""
        super().__init__(*args, **options)
        self._turns = ReceiveTurns()
        # How many more bytes may be received; None means without a bound.
        self.bytes_left: int | None = None

    def recv(self, *args: Any) -> bytes:
        """Receive bytes; raise ReplyTooLong beyond ``bytes_left``."""
        received = super().recv(*args)
        self._count(len(received))
        return received

    def recv_into(self, *args: Any) -> int:
        """Receive into a buffer; raise ReplyTooLong beyond ``bytes_left``."""
        count = super().recv_into(*args)
        self._count(count)
        return count

    def connect(self, address: Any) -> None:
        """Connect; raise TimeoutError if the peer does not respond."""
        timeout_s = self.gettimeout()
        if timeout_s:
            # gevent would limit the total of all waits, including pauses
            # of this process.
            self.settimeout(None)
            is_connected = functools.partial(is_writable, self)
            try:
                with wait_limit(timeout_s, 'connecting', is_connected):
                    super().connect(address)
            finally:
                self.settimeout(timeout_s)
        # Raises the error, if any, of a connect that ended just as the
        # timeout expired.
        super().connect(address)

    def sendall(self, message: Any, flags: int = 0) -> None:
        """Send all of ``message``; raise TimeoutError if the peer stalls.

        gevent's own method would limit the total time, including pauses of
        this process.
        """
        left = memoryview(message).cast('B')
        while left:
            left = left[self.send(left, flags) :]

    def _count(self, count: int) -> None:
        if self.bytes_left is not None:
            self.bytes_left -= count
            if self.bytes_left < 0:
                raise ReplyTooLong('the reply is too long')
        self._turns.record(count)

    def _wait(self, watcher: Any, timeout_exc: Any = None) -> None:
        """Wait until ``watcher`` is ready; all socket operations use this."""
        timeout_s = self.gettimeout()
        if timeout_s is None or watcher is None:
            super()._wait(watcher, timeout_exc)
        elif watcher is self._write_event:
            can_send = functools.partial(is_writable, self)
            with wait_limit(timeout_s, 'sending', can_send):
                socket.wait(watcher)
        else:
            can_read = functools.partial(is_readable, self)
            with wait_limit(timeout_s, 'reading', can_read):
                socket.wait(watcher)


def connect(
    address: tuple[str, int],
    connect_timeout_s: float,
    silence_timeout_s: float,
) -> UnpausedSocket:
    """Return a socket connected to ``address``; raise OSError.

    The timeouts limit connecting and each later wait, in seconds.
    """
    sock = UnpausedSocket(socket.AF_INET, socket.SOCK_STREAM)
    sock.settimeout(connect_timeout_s)
    try:
        sock.connect(address)
    except BaseException:
        sock.close()
        raise
    sock.settimeout(silence_timeout_s)
    # Head and body are sent by two writes. With Nagle's algorithm the second
    # would wait up to 40 ms for the peer's delayed acknowledgement.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class UnpausedPool(ConnectionPool):
    """A connection pool of ``UnpausedSocket`` objects."""

    def get_socket(self) -> UnpausedSocket:
        """Return a connection on which the head of a reply is expected."""
        sock = super().get_socket()
        sock.bytes_left = MAX_HEAD_BYTES
        return sock

    def _create_tcp_socket(
        self,
        family: int,
        socktype: int,
        protocol: int,
    ) -> UnpausedSocket:
        return UnpausedSocket(family, socktype, protocol)

    def _is_socket_alive(self, sock: UnpausedSocket) -> bool:
        """Return whether an idle connection can be used again.

        geventhttpclient uses ``select`` here, which rejects descriptors
        above 1,023, so it would never use such a connection again.
        """
        return sock.fileno() >= 0 and not is_readable(sock)


class UnpausedClient(HTTPClient):
    """An HTTP client that uses ``UnpausedSocket`` objects."""

    def __init__(
        self,
        host: str,
        port: int,
        max_reply_bytes: int | None = None,
        **options: float,
    ) -> None:
        """Connect to ``host`` and ``port``, with options of HTTPClient.

        A reply may have ``max_reply_bytes`` after its head.
        """
        self._max_reply_bytes = max_reply_bytes
        super().__init__(host, port, **options)
        self._connection_pool = UnpausedPool(
            host,
            port,
            host,
            port,
            size=options['concurrency'],
            connection_timeout=options['connection_timeout'],
            network_timeout=options['network_timeout'],
        )
        # geventhttpclient retries a call that changes nothing as often as
        # the size of its pool. With the real size it would retry thousands
        # of times a second if the peer resets each connection.
        self._connection_pool.size = MAX_RESENDS - 1

    def request(self, *args: Any, **options: Any) -> HTTPSocketPoolResponse:
        """Send a request; return its reply once the head is complete."""
        resp = super().request(*args, **options)
        # The library releases the connection with the last byte of a reply.
        if resp._sock is not None:  # noqa: SLF001
            resp._sock.bytes_left = self._max_reply_bytes  # noqa: SLF001
        return resp
