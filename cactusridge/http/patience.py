"""Sockets whose time-outs do not count this process's own pauses."""

import contextlib
import functools
from collections.abc import Callable, Iterator
from typing import Any

from gevent import socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool

from cactusridge.http.awake import PatientTimeout
from cactusridge.http.readable import is_readable, is_writable

# Connections that may be gone under a call that changes nothing before it
# fails.
RESENDS = 2


@contextlib.contextmanager
def bounded(
    seconds: float,
    awaited: str,
    is_ready: Callable[[], bool],
) -> Iterator[None]:
    """Bound a wait; raise TimeoutError unless it ``is_ready`` by then.

    What is ready when the time is over is taken all the same: the loop
    hears of 64 sockets in one turn, and others may have run for long in
    the turn in which it is over.
    """
    limit = PatientTimeout(seconds)
    try:
        with limit:
            yield
    except PatientTimeout as exc:
        if exc is not limit:
            raise
        if not is_ready():
            raise TimeoutError(exc.described(awaited)) from exc


class PatientSocket(socket.socket):
    """Gives up only if the peer, not this process, was silent.

    Its time-out bounds connecting, and each wait for bytes or for room
    to send some, in seconds of listening.
    """

    def connect(self, address: Any) -> None:
        """Connect; raise TimeoutError if the peer is silent."""
        timeout_s = self.gettimeout()
        if timeout_s:
            # The library bounds it by the clock, all waits together.
            self.settimeout(None)
            is_over = functools.partial(is_writable, self)
            try:
                with bounded(timeout_s, 'connecting', is_over):
                    super().connect(address)
            finally:
                self.settimeout(timeout_s)
        # Tells what became of it if it was over only with its time.
        super().connect(address)

    def sendall(self, message: Any, flags: int = 0) -> None:
        """Send all of ``message``; raise TimeoutError if none is taken.

        The library bounds the whole of it by the clock.
        """
        left = memoryview(message).cast('B')
        while left:
            left = left[self.send(left, flags) :]

    def _wait(self, watcher: Any, timeout_exc: Any = None) -> None:
        """Wait until ``watcher`` is ready; every call waits here."""
        timeout_s = self.gettimeout()
        if timeout_s is None or watcher is None:
            super()._wait(watcher, timeout_exc)
        elif watcher is self._write_event:
            can_send = functools.partial(is_writable, self)
            with bounded(timeout_s, 'sending', can_send):
                socket.wait(watcher)
        else:
            can_read = functools.partial(is_readable, self)
            with bounded(timeout_s, 'reading', can_read):
                socket.wait(watcher)


def connect(
    address: tuple[str, int],
    connect_timeout_s: float,
    silence_timeout_s: float,
) -> PatientSocket:
    """Return a socket connected to ``address``; raise OSError."""
    sock = PatientSocket(socket.AF_INET, socket.SOCK_STREAM)
    sock.settimeout(connect_timeout_s)
    try:
        sock.connect(address)
    except BaseException:
        sock.close()
        raise
    sock.settimeout(silence_timeout_s)
    # Head and body go out as two writes; with Nagle's algorithm the
    # second waits for the peer's delayed acknowledgement, 40 ms.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class PatientPool(ConnectionPool):
    """A pool of patient sockets."""

    def _create_tcp_socket(
        self,
        family: int,
        socktype: int,
        protocol: int,
    ) -> PatientSocket:
        return PatientSocket(family, socktype, protocol)

    def _is_socket_alive(self, sock: PatientSocket) -> bool:
        """Tell whether an idle connection may be used again.

        The library asks ``select``, which refuses descriptors above
        1,023, and so would never use such a connection twice.
        """
        return sock.fileno() >= 0 and not is_readable(sock)


class PatientClient(HTTPClient):
    """An HTTP client over patient sockets."""

    def __init__(self, host: str, port: int, **options: float) -> None:
        """Connect to ``host`` and ``port``; options as the library's."""
        super().__init__(host, port, **options)
        self._connection_pool = PatientPool(
            host,
            port,
            host,
            port,
            size=options['concurrency'],
            connection_timeout=options['connection_timeout'],
            network_timeout=options['network_timeout'],
        )
        # The library sends a call that changes nothing again for as often
        # as the pool has places, to a peer that resets each connection
        # thousands of times a second.
        self._connection_pool.size = RESENDS - 1
