"""Reservation of ports for processes that start later."""

import socket

from cactusridge.http.client import Address


class Ports:
    """Reserves free ports until ``close`` is called.

    A reserved port is bound but does not listen. A server that sets
    SO_REUSEADDR can still bind the port, and meanwhile the system does not
    assign it to an outgoing connection.
    """

    def __init__(self) -> None:
        """Start without reserved ports."""
        self._reserved: list[socket.socket] = []

    def reserve(self) -> Address:
        """Reserve a port that the system chooses and return its address."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(('127.0.0.1', 0))
        self._reserved.append(sock)
        return Address(*sock.getsockname())

    def close(self) -> None:
        """Release all reserved ports."""
        for sock in self._reserved:
            sock.close()
        self._reserved = []
