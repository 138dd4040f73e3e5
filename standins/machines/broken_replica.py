"""A simulated replica whose answers break off, or are no answers."""

import contextlib
import enum
import struct
from collections import Counter
from typing import NamedTuple

import gevent
from gevent import socket
from gevent.server import StreamServer

from cactusridge.http.client import Address

RECV_BYTES = 65_536
HEAD_END = b'\r\n\r\n'
# Takes the place of the request's id in an answer.
ID = b'(id)'
SIGNED = b'X-Response-Signature: s\r\nX-Attempt-Id: (id)\r\n'
# Stands between two parts of an answer that arrive one after the other.
PAUSE = b'(pause)'
# Bytes of a long request that are read before it is answered.
EARLY_BYTES = 131_072
# Longest wait for the rest of a request, in seconds.
REST_TIMEOUT_S = 10
# The option SO_LINGER with a time of 0 makes close() reset the connection.
RESET = struct.pack('ii', 1, 0)


class Ending(enum.StrEnum):
    """What happens to the connection after an answer."""

    # It stays open, and the rest of the request is read.
    stays = 'stays'
    # It is reset, in the middle of the request if that is a long one.
    reset = 'reset'
    # The process ends: it sends its end, and resets what arrives after that.
    exit = 'exit'
    # Only the answer ends; the rest of the request is read.
    half = 'half'


class BrokenAnswer(NamedTuple):
    """An answer as bytes, in which ``ID`` stands for the request's id.

    Its parts, between which ``PAUSE`` stands, are sent one after the other.

    There are ``pause_s`` seconds after each part, and
    then the connection ends as ``ending`` says. If
    ``early`` is set, the answer is sent before the request has been read.
    """

    raw: bytes
    ending: Ending = Ending.stays
    pause_s: float = 0
    early: bool = False


class BrokenReplica:
    """Sends the same bytes in answer to each request, and to each probe."""

    def __init__(self) -> None:
        """Serve at a free port of the loopback address."""
        self.answer = BrokenAnswer(b'')
        # The number of requests, and of bytes of their bodies, by their ids.
        self.runs: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self._server = StreamServer(('127.0.0.1', 0), self._serve)

    def start(self) -> Address:
        """Start and return the address."""
        self._server.start()
        return Address('127.0.0.1', self._server.server_port)

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _: object) -> None:
        sock.settimeout(REST_TIMEOUT_S)
        with contextlib.closing(sock), contextlib.suppress(OSError):
            while self._serve_one(sock):
                gevent.sleep(0)

    def _serve_one(self, sock: socket.socket) -> bool:
        """Serve one request; return whether there may be another."""
        raw = b''
        while HEAD_END not in raw:
            received = sock.recv(RECV_BYTES)
            if not received:
                return False
            raw += received
        head, _, body = raw.partition(HEAD_END)
        fields = _fields(head)
        own = fields.get(b'x-attempt-id') or fields.get(b'x-request-id', b'')
        self.runs[own.decode()] += 1
        self.received[own.decode()] += len(body)
        length = int(fields.get(b'content-length', b'0'))
        return self._answer(sock, own, length)

    def _answer(self, sock: socket.socket, own: bytes, length: int) -> bool:
        """Answer the request ``own``, whose body has ``length`` bytes."""
        answer = self.answer
        first = min(length, EARLY_BYTES) if answer.early else length
        self._read(sock, own.decode(), first)
        for part in answer.raw.replace(ID, own).split(PAUSE):
            sock.sendall(part)
            gevent.sleep(answer.pause_s)
        if answer.ending == Ending.reset:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        if answer.ending == Ending.half:
            sock.shutdown(socket.SHUT_WR)
        if answer.ending in {Ending.half, Ending.stays}:
            self._read(sock, own.decode(), length)
        return answer.ending == Ending.stays

    def _read(self, sock: socket.socket, request_id: str, size: int) -> None:
        """Read a body until ``size`` bytes of it have arrived."""
        while self.received[request_id] < size:
            count = len(sock.recv(RECV_BYTES))
            if not count:
                raise ConnectionResetError('the caller has left')
            self.received[request_id] += count


def _fields(head: bytes) -> dict[bytes, bytes]:
    """Return the headers in ``head``, by their names in lower case."""
    lines = (line.partition(b': ') for line in head.split(b'\r\n')[1:])
    return {name.lower(): text for name, _, text in lines}
