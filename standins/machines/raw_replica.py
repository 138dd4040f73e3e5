"""A simulated replica that writes its answers to the socket itself."""

import contextlib
import enum
import socket
from collections import Counter

import gevent
from gevent.server import StreamServer

from cactusridge.http.client import Address
from standins.machines.replica import MachineReplica

RECV_BYTES = 65_536
HEAD_END = b'\r\n\r\n'
EVENTS = 6
FOREVER_S = 60
FRAMED = 'Transfer-Encoding: chunked\r\n'
KIND = 'Content-Type: text/event-stream\r\n'


class Manner(enum.StrEnum):
    """How the replica treats its requests."""

    # It answers at once and in chunks.
    prompt = 'prompt'
    # It neither reads a request nor sends a byte.
    silent = 'silent'
    # It sends the head of an answer and an event, and then nothing.
    hanging = 'hanging'
    # Its answers have no length and end with the connection.
    unframed = 'unframed'
    # It answers when it has read the head of a request.
    early = 'early'


class RawReplica:
    """Answers each request with a stream of ``EVENTS`` events."""

    def __init__(self, listed: MachineReplica, event_s: float) -> None:
        """Answer as ``listed``, with an event every ``event_s`` seconds."""
        self.runs: Counter[str] = Counter()
        self.manner = Manner.prompt
        self._listed = listed
        self._event_s = event_s
        self._connections: set[socket.socket] = set()
        self._server = StreamServer(('127.0.0.1', 0), self._serve)

    @property
    def address(self) -> Address:
        """The address at which it serves."""
        return Address('127.0.0.1', self._server.server_port)

    def start(self) -> Address:
        """Start and return the address."""
        self._server.start()
        return self.address

    def reset(self) -> None:
        """Break every connection, as a restart does."""
        for sock in tuple(self._connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _: object) -> None:
        self._connections.add(sock)
        try:
            with contextlib.closing(sock), contextlib.suppress(OSError):
                self._serve_all(sock)
        finally:
            self._connections.discard(sock)

    def _serve_all(self, sock: socket.socket) -> None:
        keeps = True
        while keeps:
            raw = self._read_until(sock, HEAD_END)
            keeps = bool(raw) and self._serve_one(sock, raw)

    def _serve_one(self, sock: socket.socket, raw: bytes) -> bool:
        """Serve one request; return whether there may be another."""
        if self.manner == Manner.silent:
            gevent.sleep(FOREVER_S)
        head, _, body = raw.partition(HEAD_END)
        fields = dict(
            line.split(': ', 1) for line in head.decode().split('\r\n')[1:]
        )
        request_id = fields.get('X-Attempt-Id', '')
        if not request_id:
            sock.sendall(b'HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n')
            return True
        self.runs[request_id] += 1
        if self.manner != Manner.early:
            left = int(fields.get('Content-Length', '0')) - len(body)
            while left > 0:
                left -= len(sock.recv(min(left, RECV_BYTES)))
        self._answer(sock, request_id, int(fields.get('Last-Event-Id', '0')))
        return self.manner == Manner.prompt

    def _read_until(self, sock: socket.socket, end: bytes) -> bytes:
        raw = b''
        while end not in raw:
            received = sock.recv(RECV_BYTES)
            if not received:
                return b''
            raw += received
        return raw

    def _answer(self, sock: socket.socket, request_id: str, last: int) -> None:
        framed = self.manner != Manner.unframed
        head = (
            f'HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n'
            f'X-Response-Signature: sig.{self._listed.id}\r\n{KIND}'
            f'{FRAMED if framed else ""}\r\n'
        )
        sock.sendall(head.encode())
        for number in range(last + 1, EVENTS + 1):
            gevent.sleep(self._event_s)
            event = b'id: %d\ndata: e%d\n\n' % (number, number)
            sock.sendall(_chunk(event) if framed else event)
            if self.manner == Manner.hanging:
                gevent.sleep(FOREVER_S)
        if framed:
            sock.sendall(_chunk(b''))


def _chunk(payload: bytes) -> bytes:
    """Return ``payload`` as a chunk; an empty one ends the answer."""
    return b'%x\r\n%b\r\n' % (len(payload), payload)
