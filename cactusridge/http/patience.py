"""Sockets whose time-outs do not count this process's own pauses."""

import time

from gevent import socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool

from cactusridge.http.readable import is_readable

PAUSE_S = 0.1


class PatientSocket(socket.socket):
    """Gives up a read only if the peer, not this process, was silent.

    After a pause (a frozen host, a stalled processor) timers and bytes
    are due together. What has come is read; and if the time-out came
    late, the peer is given the whole of it again, since it may have
    been paused with us.
    """

    def recv(self, *args: int) -> bytes:
        """Return what has come; raise TimeoutError for a silent peer."""
        while True:
            asked_at = time.monotonic()
            try:
                return super().recv(*args)
            except TimeoutError:
                waited_s = time.monotonic() - asked_at
                if not (self._was_paused(waited_s) or is_readable(self)):
                    raise

    def _was_paused(self, waited_s: float) -> bool:
        timeout_s = self.gettimeout()
        return timeout_s is not None and waited_s > timeout_s + PAUSE_S


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
