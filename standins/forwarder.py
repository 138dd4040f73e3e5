"""A TCP proxy that injects network faults into its connections."""

import contextlib
import socket
import struct

import gevent
from gevent.event import Event
from gevent.server import StreamServer

from cactusridge.http.client import Address

BLOCK = 65536
# Makes close() send a reset at once instead of an orderly shutdown.
NO_LINGER = struct.pack('ii', 1, 0)


class Forwarder:
    """Forwards connections to a target process and injects faults.

    ``shut_down_connections``, ``reset`` and ``stall_connections`` affect open
    connections only.
    """

    def __init__(self, target: Address) -> None:
        """Forward to ``target`` from a port that the system chooses."""
        self.target = target
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._connections: list[tuple[socket.socket, socket.socket, Event]] = []
        self.address = target
        self.refusing = False
        # ``drop_responses`` drops data from the target, ``drop_requests`` data
        # to the target.
        self.drop_responses = False
        self.drop_requests = False
        # Seconds by which each block is delayed, in both directions.
        self.delay_s = float(0)
        self.accepted_count = 0
        # Addresses of clients that connected while the target was unreachable.
        self.unforwarded_clients: set[tuple[str, int]] = set()

    def start(self) -> Address:
        """Start listening and return the address."""
        self._server.start()
        self.address = Address('127.0.0.1', self._server.server_port)
        return self.address

    def shut_down_connections(self) -> None:
        """Shut down every open connection."""
        for client_sock, target_sock, _ in self._connections:
            _close(client_sock)
            _close(target_sock)
        self._connections = []

    def reset(self) -> None:
        """Reset every open connection at both ends."""
        for client_sock, target_sock, _ in self._connections:
            _reset(client_sock)
            _reset(target_sock)
        self._connections = []

    def stall_connections(self) -> None:
        """Stop forwarding data on open connections without closing them."""
        for _, _, flowing in self._connections:
            flowing.clear()
        self._connections = []

    def stop(self) -> None:
        """Stop listening and shut down open connections."""
        self._server.stop(timeout=0)
        self.shut_down_connections()

    def _serve(self, client_sock: socket.socket, _: object) -> None:
        if self.refusing:
            return
        self.accepted_count += 1
        flowing = Event()
        flowing.set()
        try:
            target_sock = socket.create_connection(self.target, timeout=2)
        except OSError:
            self.unforwarded_clients.add(client_sock.getpeername())
            return
        target_sock.settimeout(None)
        for sock in (client_sock, target_sock):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = (client_sock, target_sock, flowing)
        self._connections.append(connection)
        response_pump = gevent.spawn(
            self._pump, target_sock, client_sock, flowing, True
        )
        self._pump(client_sock, target_sock, flowing, False)
        response_pump.join()
        target_sock.close()
        if connection in self._connections:
            self._connections.remove(connection)

    def _pump(
        self,
        from_sock: socket.socket,
        to_sock: socket.socket,
        flowing: Event,
        to_client: bool,
    ) -> None:
        try:
            while block := from_sock.recv(BLOCK):
                flowing.wait()
                if self._drops(to_client):
                    continue
                gevent.sleep(self.delay_s)
                to_sock.sendall(block)
        except OSError:
            _close(from_sock)
        if flowing.is_set():
            _close(to_sock)

    def _drops(self, to_client: bool) -> bool:
        return self.drop_responses if to_client else self.drop_requests


def _reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        sock.close()


def _close(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
