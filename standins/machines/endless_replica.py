"""A simulated replica whose answers are bytes without end."""

import contextlib
import enum
import itertools
from collections import Counter
from collections.abc import Iterator

import gevent
from gevent import socket
from gevent.server import StreamServer

from cactusridge.http.client import Address

RECV_BYTES = 65_536
BLOCK_BYTES = 32_768
HEAD = b'HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: %b\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
# Seconds between two bytes of a slow answer.
DRIP_S = 0.05


class Part(enum.StrEnum):
    """The part of an answer that does not end."""

    headers = 'headers'
    header = 'header'
    interim = 'interim'
    chunk_size = 'chunk size'
    extension = 'extension'
    trailers = 'trailers'
    body = 'body'
    event = 'event'
    comments = 'comments'
    blank_lines = 'blank lines'
    bare_events = 'events without an id'


class EndlessReplica:
    """Answers each request, and each probe, without an end.

    The bytes follow each other at once, or one each DRIP_S if ``slow``.
    """

    def __init__(self) -> None:
        """Serve at a free port of the loopback address."""
        self.part = Part.headers
        self.slow = False
        self.answers: Counter[Part] = Counter()
        # Answers whose connection the caller has not closed.
        self.open = 0
        self._server = StreamServer(('127.0.0.1', 0), self._serve)

    def start(self) -> Address:
        """Start and return the address."""
        self._server.start()
        return Address('127.0.0.1', self._server.server_port)

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop(timeout=0)

    def _serve(self, sock: socket.socket, _: object) -> None:
        with contextlib.closing(sock), contextlib.suppress(OSError):
            raw = sock.recv(RECV_BYTES)
            self.answers[self.part] += 1
            self.open += 1
            try:
                self._answer(sock, _request_id(raw))
            finally:
                self.open -= 1

    def _answer(self, sock: socket.socket, request_id: bytes) -> None:
        begin, repeated = _bytes_of(self.part, HEAD % request_id)
        sock.sendall(begin)
        for block in _blocks(repeated, self.slow):
            sock.sendall(block)
            gevent.sleep(DRIP_S if self.slow else 0)


def _bytes_of(part: Part, own: bytes) -> tuple[bytes, bytes]:
    """Return the first bytes of an answer and those that follow for ever."""
    chunk = b'%b%b' % (own, CHUNKED)
    return {
        Part.headers: (own, b'X-More: more\r\n'),
        Part.header: (b'%bX-More: ' % own, b'more'),
        Part.interim: (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        Part.chunk_size: (chunk, b'0'),
        Part.extension: (b'%b2;' % chunk, b'more'),
        Part.trailers: (b'%b1\r\nx\r\n0\r\n' % chunk, b'X-More: more\r\n'),
        Part.body: (b'%b\r\n' % own, b'more'),
        Part.event: (b'%b\r\nid: 1\ndata: ' % own, b'more'),
        Part.comments: (b'%b\r\n' % own, b':\n\n'),
        Part.blank_lines: (b'%b\r\n' % own, b'\n'),
        Part.bare_events: (b'%b\r\n' % own, b'data: x\n\n'),
    }[part]


def _blocks(repeated: bytes, slow: bool) -> Iterator[bytes]:
    if slow:
        return (bytes((each,)) for each in itertools.cycle(repeated))
    return itertools.repeat(repeated * (BLOCK_BYTES // len(repeated)))


def _request_id(raw: bytes) -> bytes:
    for line in raw.split(b'\r\n'):
        name, _, text = line.partition(b': ')
        if name.lower() == b'x-attempt-id':
            return text
    return b''
