"""Tests that replies are read alike, and strictly, on every path."""

import itertools
import unittest
from collections.abc import Callable

from geventhttpclient.response import HTTPParseError
from nose2.tools import params

from cactusridge.cli.api import Api
from cactusridge.cli.failures import Unreachable
from cactusridge.clock import SystemClock
from cactusridge.dispatch.upstream import UpstreamRequest
from cactusridge.errors import CactusridgeError
from cactusridge.fleet.replica import Replica, ReplicaState
from cactusridge.http.client import Address, Clients
from cactusridge.orders import RunOrder, WorkClass
from cactusridge.platform.upstream import HttpUpstream
from cactusridge.sidecar.upstream import Answer, Upstream
from cactusridge.startup.models import SidecarSettings
from standins.machines.broken_replica import (
    PAUSE,
    SIGNED,
    BrokenAnswer,
    BrokenReplica,
    Ending,
)

WAIT_S = 2
PAUSE_S = 0.02
ERRORS = (CactusridgeError, HTTPParseError, OSError, Unreachable)
BODY = b'{"a":1}'
UPLOAD = bytes(6_000_000)


FRAMED = b'Content-Length: 7\r\n\r\n%b' % BODY


def reply(
    status: bytes = b'HTTP/1.1 200 OK',
    fields: bytes = b'',
    framed: bytes = FRAMED,
) -> bytes:
    """Return a reply with a status line, more headers, and its body."""
    return b'%b\r\n%b%b%b' % (status, SIGNED, fields, framed)


def chunked(body: bytes, coding: bytes = b'chunked') -> bytes:
    """Return the headers and the bytes of a body in chunks."""
    return b'Transfer-Encoding: %b\r\n\r\n%b' % (coding, body)


WHOLE = reply()
UNFRAMED = reply(framed=b'\r\n%b' % BODY)
HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
CHUNKS = b'7\r\n%b\r\n0\r\n\r\n' % BODY
OTHER = b'HTTP/1.1 404 No\r\nX-B: 1\r\nContent-Length: 3\r\n\r\nxyz'
BAD_NAMES = tuple(
    reply(fields=b'X%bName: 1\r\n' % each)
    for each in (b' ', b'\t', b'\x01', b'\x00', b'\x7f', b'\xe9', b'(')
)
BAD_LINES = (
    reply(fields=b'X-Name : 1\r\n'),
    reply(fields=b'X-Name\r\n'),
    reply(fields=b': 1\r\n'),
    reply(fields=b' X-Name: 1\r\n'),
    reply(fields=b'X-Name: 1\r\n 2\r\n'),
    reply(fields=b'X-Name: 1\x00\r\n'),
    reply(fields=b'X-Name: 1\x01\r\n'),
    reply(fields=b'X-Name: 1\r2\r\n'),
    reply(fields=b'X-Name: 1\n'),
)
BAD_LENGTHS = tuple(
    reply(framed=b'%b\r\n%b' % (lines, BODY))
    for lines in (
        b'Content-Length: +7\r\n',
        b'Content-Length: 7, 7\r\n',
        b'Content-Length: 7\r\nContent-Length: 7\r\n',
        b'Content-Length: 7\r\nContent-Length: 3\r\n',
        b'Content-Length : 7\r\n',
        b'Content-Length: 7x\r\n',
    )
)
BAD_CHUNKS = tuple(
    reply(framed=chunked(body))
    for body in (
        b'+7\r\n%b\r\n0\r\n\r\n' % BODY,
        b'0x7\r\n%b\r\n0\r\n\r\n' % BODY,
        b'7\n%b\n0\n\n' % BODY,
        b'3\r\n%b\r\n0\r\n\r\n' % BODY,
        b'7\r\n%b\r\n0\r\nX Name: 1\r\n\r\n' % BODY,
    )
)
BAD_STATUS = (
    reply(b'HTTP/1.1 000 Trouble'),
    reply(b'HTTP/1.1 700 High'),
    reply(b'HTTP/1.1 100 Continue'),
    b'noise\r\n%b' % WHOLE,
)
REFUSED = (*BAD_STATUS, *BAD_NAMES, *BAD_LINES, *BAD_LENGTHS, *BAD_CHUNKS)
ACCEPTED = (
    WHOLE,
    HINTS + WHOLE,
    b'%b%b%b' % (HINTS, PAUSE, WHOLE),
    b'%b%b%b' % (HINTS, PAUSE, WHOLE.replace(BODY, PAUSE + BODY)),
    reply(framed=chunked(CHUNKS)),
    reply(framed=chunked(b'3\r\n{"a\r\n%b4\r\n":1}\r\n0\r\n\r\n' % PAUSE)),
    WHOLE + OTHER,
    b'%bnoise' % WHOLE,
    reply(fields=b'X-A: 1\r\nX-A: 2\r\n'),
)


class Paths:
    """One request on each path; each returns the body of the reply."""

    def __init__(self, address: Address) -> None:
        """Send to ``address``."""
        self.address = address
        self.cfg = SidecarSettings.from_values(
            listen='127.0.0.1:1',
            zone='a',
            internal_secret='internal-secret-of-tests',
            upstreams=[
                {
                    'service': '/teams/a',
                    'address': str(address),
                    'read_timeout_s': WAIT_S,
                }
            ],
        )

    def replica(self, body: bytes) -> bytes:
        """Send a request to a replica on the machines."""
        state = ReplicaState.ready
        replica = Replica('i-1', 's', self.address, 'z', 8, state)
        req = UpstreamRequest('r1', 'POST', '/', [], body, 'f')
        exchange = HttpUpstream(SystemClock()).send(replica, req, WAIT_S)
        exchange.head(WAIT_S)
        found = b''
        while received := exchange.read(WAIT_S):
            found += received
        return found

    def call(self, method: str, body: bytes) -> Answer:
        """Let a sidecar send an order to its upstream."""
        order = RunOrder(
            id='r1',
            incarnation='any',
            service='/teams/a',
            team='any',
            work=WorkClass.online,
            method=method,
            path='/',
            deadline_s=60,
        )
        upstream = Upstream(self.cfg.upstreams[0], self.cfg)
        return upstream.call(order, body, resume=False)

    def clients(self, body: bytes) -> bytes:
        """Call the store, a peer or a sidecar."""
        with Clients(1, WAIT_S).send(self.address, '/', body) as resp:
            return resp.read()

    def api(self, body: bytes) -> bytes:
        """Call an entry as the command line does."""
        return Api(f'http://{self.address}', 'token').raw('POST', '/', body)


Path = Callable[[Paths, bytes], bytes]
PATHS: dict[str, Path] = {
    'replica': Paths.replica,
    'clients': Paths.clients,
    'api': Paths.api,
    **{
        method: lambda paths, body, method=method: b''.join(
            paths.call(method, body).body
        )
        for method in ('POST', 'GET', 'PUT', 'DELETE')
    },
}


class TestStrictPaths(unittest.TestCase):
    """One reading of the same bytes, whoever reads them."""

    def setUp(self):
        """Start the server."""
        self.broken = BrokenReplica()
        self.addCleanup(self.broken.stop)
        self.paths = Paths(Address(*self.broken.start()))

    @params(*itertools.product(PATHS, REFUSED))
    def test_refused(self, path, raw):
        """Bytes that are no reply bring an error, and nothing of a body."""
        self.broken.answer = BrokenAnswer(raw, Ending.exit)
        with self.assertRaises(ERRORS):
            self.fail(PATHS[path](self.paths, b'{}'))

    @params(*itertools.product(PATHS, ACCEPTED))
    def test_accepted(self, path, raw):
        """The body of the final reply arrives, and nothing else."""
        self.broken.answer = BrokenAnswer(raw, pause_s=PAUSE_S)
        self.assertEqual(BODY, PATHS[path](self.paths, b'{}'))

    @params(*itertools.product(PATHS, (Ending.reset, Ending.exit)))
    def test_broken_end(self, path, ending):
        """A reply without a length is not whole if an upload broke."""
        self.broken.answer = BrokenAnswer(UNFRAMED, ending, PAUSE_S, early=True)
        with self.assertRaises(ERRORS):
            self.fail(PATHS[path](self.paths, UPLOAD))

    @params(*PATHS)
    def test_end(self, path):
        """A reply without a length is whole if the upload is read."""
        self.broken.answer = BrokenAnswer(UNFRAMED, Ending.half, early=True)
        self.assertEqual(BODY, PATHS[path](self.paths, UPLOAD))

    @params(*PATHS)
    def test_cut(self, path):
        """A reply that is shorter than its length is not whole."""
        self.broken.answer = BrokenAnswer(WHOLE[:-1], Ending.exit)
        with self.assertRaises(ERRORS):
            self.fail(PATHS[path](self.paths, b'{}'))

    @params('POST', 'GET', 'PUT', 'DELETE')
    def test_lines(self, method):
        """An upstream's headers arrive in order, repeated ones too."""
        lines = b'X-A: 1\r\nX-A: 2\r\nX-B: \r\nX-C: \xe9\r\n'
        self.broken.answer = BrokenAnswer(reply(fields=lines))
        found = self.paths.call(method, b'').head.headers
        wanted = [('X-A', '1'), ('X-A', '2'), ('X-B', ''), ('X-C', '\xe9')]
        self.assertEqual(wanted, [each for each in found if each in wanted])


class TestProbe(unittest.TestCase):
    """What a server's answer to a probe says of its process."""

    @params(
        *((raw, Ending.stays, True) for raw in (WHOLE, *BAD_STATUS)),
        *((raw, Ending.stays, True) for raw in BAD_NAMES),
        (b'', Ending.exit, False),
        (b'', Ending.reset, False),
        (WHOLE[:9], Ending.exit, False),
        (reply(b'HTTP/1.1 421 Misdirected'), Ending.stays, False),
    )
    def test_is_running(self, raw, ending, running):
        """A server that sends no answer is in trouble, and has not crashed."""
        broken = BrokenReplica()
        self.addCleanup(broken.stop)
        broken.answer = BrokenAnswer(raw, ending)
        address = Address(*broken.start())
        replica = Replica('i-1', 's', address, 'z', 8, ReplicaState.ready)
        upstream = HttpUpstream(SystemClock())
        self.assertEqual(running, upstream.is_running(replica, WAIT_S))
