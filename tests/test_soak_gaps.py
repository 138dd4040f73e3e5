"""The soak's callers leave streams after a gap, and requests of who left."""

import tempfile
import unittest
from pathlib import Path

import gevent
from gevent.server import StreamServer
from nose2.tools import params

from cactusridge.http.client import Address
from soak.callers import Caller, RequestSpec
from soak.checks import GONE_BOUND_S, GONE_REQUESTS, check_at_end
from soak.record import Call, CallEnd, Disturbance, Record, RunStart
from soak.resuming_caller import ResumingCaller
from soak.world import World
from standins.forwarder import Forwarder

HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
EVENT = b'1a\r\nid: 1\ndata: c-1.1\n\ndata: \r\n'
GAP_S = 0.3
STREAM = RequestSpec('on', '/on/x', b'2')
PLAIN = RequestSpec('safe', '/safe/x', b'plain')


class TestGaps(unittest.TestCase):
    """An entry begins an answer, and then sends nothing for some time."""

    def setUp(self):
        """Listen in place of an entry."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.world = World(Path(folder.name), 1, 4)
        self.addCleanup(self.world.stop)
        self.pause_s = 9
        self.sent = HEAD + EVENT
        server = StreamServer(('127.0.0.1', 0), self.answer)
        server.start()
        self.addCleanup(server.stop)
        link = Forwarder(Address('127.0.0.1', server.server_port))
        link.start()
        self.world.caller_links['entry-0'] = link
        self.world.gap_s = GAP_S

    def answer(self, sock, _):
        """Send the beginning of an answer, and end it after the pause."""
        sock.recv(1 << 16)
        sock.sendall(self.sent)
        gevent.sleep(self.pause_s)

    @params((HEAD + EVENT, 200), (b'', None))
    def test_gap(self, sent, status):
        """A caller that leaves a stream after a gap has left, not lost it."""
        self.sent = sent
        call = Caller(self.world, 'c', 0).send(STREAM)
        self.assertEqual(
            (CallEnd.caller_closed, status), (call.end, call.status)
        )

    @params((HEAD + EVENT, CallEnd.cut), (b'', CallEnd.closed))
    def test_cut(self, sent, end):
        """A stream that its entry ends before the gap is cut."""
        self.sent = sent
        self.pause_s = GAP_S / 3
        self.assertEqual(end, Caller(self.world, 'c', 0).send(STREAM).end)

    def test_plain(self):
        """A caller of a request without a stream stays."""
        self.pause_s = GAP_S * 2
        self.assertEqual(
            CallEnd.cut, Caller(self.world, 'c', 0).send(PLAIN).end
        )

    @params(
        (9, HEAD + EVENT, CallEnd.caller_closed),
        (9, b'', CallEnd.caller_closed),
        (GAP_S / 3, HEAD + EVENT, CallEnd.cut),
        (GAP_S / 3, b'', CallEnd.closed),
    )
    def test_resuming_caller(self, pause_s, sent, end):
        """Each attempt of a caller that resumes is recorded as it ended."""
        self.pause_s = pause_s
        self.sent = sent
        caller = ResumingCaller(self.world, 'r', 2)
        reading = gevent.spawn(caller.run)
        gevent.sleep(GAP_S * 2)
        self.world.finished = True
        reading.kill()
        self.assertEqual(end, self.world.record.calls[0].end)


class TestGone(unittest.TestCase):
    """Requests that reach a replica after their caller has left."""

    @params(
        (GONE_REQUESTS + 1, GONE_BOUND_S + 0.1, CallEnd.caller_closed, 0, 1),
        (GONE_REQUESTS + 1, GONE_BOUND_S - 0.1, CallEnd.caller_closed, 0, 0),
        (GONE_REQUESTS, GONE_BOUND_S + 0.1, CallEnd.caller_closed, 0, 0),
        (GONE_REQUESTS + 1, GONE_BOUND_S + 0.1, CallEnd.whole, 0, 0),
        (GONE_REQUESTS + 1, GONE_BOUND_S + 0.1, CallEnd.caller_closed, 9, 0),
    )
    def test_found(self, count, after_s, end, disturbed_s, broken):
        """More than a few, later than the bound, in a calm fleet."""
        record = Record()
        record.disturbances.append(Disturbance(0, disturbed_s, 'Kill', False))
        for number in range(count):
            call = Call(f'r{number}', 'on', 'entry-0', 5, 6, end)
            record.calls.append(call)
            record.run_starts.append(
                RunStart(call.id, '/on/x', 'life', 6 + after_s)
            )
        check_at_end(record)
        self.assertEqual(broken, len(record.violations))
