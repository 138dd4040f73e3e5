"""Ports that are kept for processes to come."""

import socket

from cactusridge.http.client import Address


class Ports:
    """Gives free ports and keeps each until all are closed.

    A kept port is bound and never listens: a server, which reuses
    addresses, can bind it too, and the system gives it to no outgoing
    connection meanwhile.
    """

    def __init__(self) -> None:
        """Keep none."""
        self._kept: list[socket.socket] = []

    def give(self) -> Address:
        """Return the address of a port that the system gives."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(('127.0.0.1', 0))
        self._kept.append(sock)
        return Address(*sock.getsockname())

    def close(self) -> None:
        """Keep none any more."""
        for sock in self._kept:
            sock.close()
        self._kept = []
