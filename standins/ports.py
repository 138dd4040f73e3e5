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
        """Reserve a port that the system chooses and return its address.

        Its datagram port is free as well. An earlier test may have released
        the port and still receive datagrams there.
        """
        while True:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(('127.0.0.1', 0))
            self._reserved.append(sock)
            address = Address(*sock.getsockname())
            if _is_free_for_datagrams(address):
                return address

    def close(self) -> None:
        """Release all reserved ports."""
        for sock in self._reserved:
            sock.close()
        self._reserved = []


def _is_free_for_datagrams(address: Address) -> bool:
    """Return whether no process receives datagrams at ``address``."""
    with socket.socket(type=socket.SOCK_DGRAM) as probe:
        try:
            probe.bind(address)
        except OSError:
            return False
    return True
