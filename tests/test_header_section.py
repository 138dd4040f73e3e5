"""Requests whose bytes do not tell for certain where each of them ends.

A malformed header line ended the headers of a request, and its body ran as a
further request; an empty chunk size was answered 500.
"""

import itertools
import re
import socket
import unittest

from nose2.tools import params

from cactusridge.http.app import App, route
from cactusridge.http.exchange import json_reply
from standins.ports import Ports
from tests.served import serve

STATUS = re.compile(rb'HTTP/1\.1 (\d+) ')
INNER = b'POST /inner HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n'
SIZE = b'%d' % len(INNER)
LINE = b'POST /outer HTTP/1.1\r\n'
HOST = b'Host: x\r\n'
END = b'\r\n'
SIZED = b'Content-Length: %b\r\n' % SIZE
CHUNKED = b'Transfer-Encoding: chunked\r\n'
NO_BODY = b'Content-Length: 0\r\n\r\n'
THREE_BYTES = b'3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n'
# Header lines after which the library took the rest for the body.
LINES = (
    b'Content-Length : %b' % SIZE,
    b'Content-Length\t: %b' % SIZE,
    b' Content-Length: %b' % SIZE,
    b'no colon',
    b': no name',
    b'From x',
    b'two words: 1',
    b'quo"ted: 1',
    b'br(acket: 1',
    b'X-A: 1\r\n folded',
    b'X-A: 1\rContent-Length: %b' % SIZE,
    b'X-A: 1\0',
    b'X-A: \x0b1',
    b'X-A: \x7f1',
    b'\xc5\x9e: 1',
    b'Content-Length: %b\r\nContent-Length: 0' % SIZE,
    b'Content-Length: 0\r\ncontent-length: 0',
    b'Content-Length: +%b' % SIZE,
    b'Content-Length: 0x10',
    b'Content-Length: 1_0',
    b'Content-Length: \xb2',
    b'Content-Length: -1',
    b'Content-Length: %b, %b' % (SIZE, SIZE),
    b'Content-Length:',
    b'Transfer-Encoding: chunked\r\nContent-Length: %b' % SIZE,
    b'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked',
    b'Transfer-Encoding: gzip, chunked',
    b'Transfer-Encoding: chunked, identity',
    b'Transfer-Encoding: xchunked',
    b'Transfer-Encoding: identity',
    b'Transfer-Encoding: "chunked"',
    b'Transfer-Encoding:',
    b'Host: y',
)
# Chunked bodies that are malformed, each before a sound request.
CHUNKS = (
    b'\r\n',
    b';x\r\n',
    b'g\r\n',
    b'-1\r\n',
    b' 1\r\nx\r\n0\r\n\r\n',
    b'1 \r\nx\r\n0\r\n\r\n',
    b'1\nx\r\n0\r\n\r\n',
    b'1\r\nxx\r\n0\r\n\r\n',
    b'0x1\r\nx\r\n0\r\n\r\n',
    b'00000000000000001\r\nx\r\n0\r\n\r\n',
    b'0\r\nno colon\r\n\r\n',
)
SOUND = tuple(
    itertools.starmap(
        b''.join,
        (
            ((LINE, HOST, SIZED, END, INNER),),
            ((LINE, b'host:x\r\n', CHUNKED, END, THREE_BYTES),),
            ((LINE, HOST, CHUNKED.upper(), END, b'0\r\n\r\n'),),
            ((LINE, HOST, b'X-A:\r\nX-B: \xc5\x9e\t1 \r\n', NO_BODY),),
            ((b'POST /outer HTTP/1.1\nHost: x\nContent-Length: 0\n\n',),),
            ((LINE.replace(b'1.1', b'1.0'), NO_BODY),),
            ((LINE, NO_BODY),),
        ),
    )
)


class TestHeaderSection(unittest.TestCase):
    """A server whose application counts what it runs."""

    def setUp(self):
        """Start the server."""
        self.ran = []
        routes = [route('*', '/.*', self.run_request)]
        ports = Ports()
        self.addCleanup(ports.close)
        self.served = serve(None, App(routes, 1 << 20, 5), ports.reserve())
        self.addCleanup(self.served.server.stop, 0)

    def run_request(self, req):
        """Read the body; then record the path."""
        req.body()
        self.ran.append(req.path)
        return json_reply({})

    def statuses(self, raw):
        """Send bytes and the end of them; return the statuses until closed."""
        conn = socket.create_connection(self.served.address, timeout=5)
        with conn, conn.makefile('rb') as answer:
            conn.sendall(raw)
            conn.shutdown(socket.SHUT_WR)
            return STATUS.findall(answer.read())

    @params(*LINES)
    def test_refused(self, line):
        """One 400 and a closed connection; nothing runs."""
        raw = b''.join((LINE, HOST, line, END, END, INNER))
        self.assertEqual([b'400'], self.statuses(raw), line)
        self.assertEqual([], self.ran, line)

    @params(*LINES)
    def test_refused_first(self, line):
        """The same if the line is the first one."""
        raw = b''.join((LINE, line, END, HOST, END, INNER))
        self.assertEqual([b'400'], self.statuses(raw), line)
        self.assertEqual([], self.ran, line)

    @params(*CHUNKS)
    def test_chunks(self, chunks):
        """A malformed chunk gets one 400, and nothing after it runs."""
        raw = b''.join((LINE, HOST, CHUNKED, END, chunks, INNER))
        self.assertEqual([b'400'], self.statuses(raw), chunks)
        self.assertEqual([], self.ran, chunks)

    def test_chunks_in_1_0(self):
        """HTTP/1.0 has no chunks."""
        line = LINE.replace(b'1.1', b'1.0')
        raw = b''.join((line, HOST, CHUNKED, END, b'0\r\n\r\n', INNER))
        self.assertEqual([b'400'], self.statuses(raw))
        self.assertEqual([], self.ran)

    def test_cut(self):
        """A request that ends at any byte of its headers does not run."""
        whole = b''.join((LINE, HOST, SIZED, END, INNER))
        for size, _ in enumerate(whole):
            self.assertLessEqual(set(self.statuses(whole[:size])), {b'400'})
        self.assertEqual([], self.ran)

    @params(*SOUND)
    def test_sound(self, raw):
        """Proper requests run, and so does the next one, if it may."""
        is_kept = b'HTTP/1.0' not in raw
        count = 2 if is_kept else 1
        self.assertEqual([b'200'] * count, self.statuses(raw + INNER))
        self.assertEqual(['/outer', '/inner'][:count], self.ran)
