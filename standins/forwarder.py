"""A TCP forwarder that harms what goes through it."""

import contextlib
import socket
import struct

import gevent
from gevent.event import Event
from gevent.server import StreamServer

from cactusridge.http.client import Address

BLOCK = 65536
# Closing at once, with a reset instead of an orderly end.
NO_LINGER = struct.pack('ii', 1, 0)


class Forwarder:
    """Stands between two processes; new connections are not affected."""

    def __init__(self, target: Address) -> None:
        """Forward to ``target`` from a port that the system gives."""
        self.target = target
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._pairs: list[tuple[socket.socket, socket.socket, Event]] = []
        self.address = target
        self.refusing = False
        # One way only: answers, or requests, are lost.
        self.deaf = False
        self.mute = False
        # Seconds that each block is late, in both directions.
        self.delay_s = float(0)
        self.opened = 0
        # Who connected while nobody listened at the target.
        self.unreached: set[tuple[str, int]] = set()

    def start(self) -> Address:
        """Listen; return where."""
        self._server.start()
        self.address = Address('127.0.0.1', self._server.server_port)
        return self.address

    def cut(self) -> None:
        """End every open connection."""
        for near, far, _ in self._pairs:
            _close(near)
            _close(far)
        self._pairs = []

    def reset(self) -> None:
        """Reset every open connection at both ends."""
        for near, far, _ in self._pairs:
            _reset(near)
            _reset(far)
        self._pairs = []

    def silence(self) -> None:
        """Pass nothing on any more on the connections open now."""
        for _, _, flowing in self._pairs:
            flowing.clear()
        self._pairs = []

    def stop(self) -> None:
        """Stop listening and end what is open."""
        self._server.stop(timeout=0)
        self.cut()

    def _serve(self, near: socket.socket, _: object) -> None:
        if self.refusing:
            return
        self.opened += 1
        flowing = Event()
        flowing.set()
        try:
            far = socket.create_connection(self.target, timeout=2)
        except OSError:
            self.unreached.add(near.getpeername())
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (near, far, flowing)
        self._pairs.append(pair)
        back = gevent.spawn(self._pump, far, near, flowing, True)
        self._pump(near, far, flowing, False)
        back.join()
        far.close()
        if pair in self._pairs:
            self._pairs.remove(pair)

    def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        flowing: Event,
        answers: bool,
    ) -> None:
        try:
            while block := source.recv(BLOCK):
                flowing.wait()
                if self._loses(answers):
                    continue
                gevent.sleep(self.delay_s)
                sink.sendall(block)
        except OSError:
            _close(source)
        if flowing.is_set():
            _close(sink)

    def _loses(self, answers: bool) -> bool:
        return self.deaf if answers else self.mute


def _reset(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        sock.close()


def _close(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
