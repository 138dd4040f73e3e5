"""Tests of answers without a length whose connection ends during an upload."""

import functools
import itertools

import gevent
from nose2.tools import params

from cactusridge.clock import SystemClock
from cactusridge.dispatch.upstream import UpstreamRequest
from cactusridge.errors import OutcomeUnknown, TruncatedReply
from cactusridge.fleet.replica import Replica, ReplicaState
from cactusridge.http.client import Address
from cactusridge.platform.upstream import HttpUpstream
from standins.machines.broken_replica import (
    SIGNED,
    BrokenAnswer,
    BrokenReplica,
    Ending,
)
from standins.waiting import wait_for
from tests.kept_logs import KeptLogsCase
from tests.machine_case import MachineCase

WAIT_S = 5
UPLOAD_BYTES = 6_000_000
SHORT = b'short'
UPLOAD = b'1 0.01'.ljust(UPLOAD_BYTES)
PART = b'part of the body'
UNFRAMED = b'HTTP/1.1 200 OK\r\n%b\r\n%b' % (SIGNED, PART)
EVENTS = b'id: 1\ndata: e1\n\n'
STREAM = b'HTTP/1.1 200 OK\r\n%b\r\n%b' % (SIGNED, EVENTS)
PAUSES_S = (0, 0.002, 0.02, 0.1)
CALLERS = 32
early = functools.partial(BrokenAnswer, UNFRAMED, early=True)
late = functools.partial(BrokenAnswer, UNFRAMED)
BROKEN_OFF = tuple(
    BrokenAnswer(*parts, early=True)
    for parts in itertools.product(
        (UNFRAMED, STREAM), (Ending.reset, Ending.exit), PAUSES_S
    )
)


class TestEnds(KeptLogsCase):
    """One upload at one server whose answer ends with its connection."""

    def setUp(self):
        """Start the server."""
        self.broken = BrokenReplica()
        self.addCleanup(self.broken.stop)
        self.address = Address(*self.broken.start())

    def read_all(self, body: bytes, pause_s: float) -> bytes:
        """Return the answer to an upload, read ``pause_s`` after its head."""
        state = ReplicaState.ready
        replica = Replica('i-1', 's', self.address, 'z', 8, state)
        req = UpstreamRequest('r1', 'POST', '/', [], body, 'f')
        exchange = HttpUpstream(SystemClock()).send(replica, req, WAIT_S)
        found = b''
        try:
            exchange.head(WAIT_S)
            gevent.sleep(pause_s)
            while received := exchange.read(WAIT_S):
                found += received
        finally:
            exchange.close()
        return found

    @params(*itertools.product(BROKEN_OFF, (0, 0.2)))
    def test_broken_off(self, answer, pause_s):
        """An answer whose connection breaks, on either half, is not whole."""
        self.broken.answer = answer
        with self.assertRaises((OutcomeUnknown, TruncatedReply)):
            self.read_all(UPLOAD, pause_s)

    @params(
        (early(ending=Ending.half), UPLOAD, 0),
        (early(ending=Ending.half), UPLOAD, 0.2),
        (early(ending=Ending.half, pause_s=0.1), UPLOAD, 0),
        (late(ending=Ending.exit), UPLOAD, 0.2),
        (late(ending=Ending.exit, pause_s=0.1), UPLOAD, 0),
        (late(ending=Ending.half), SHORT, 0),
        (late(ending=Ending.exit), SHORT, 0.1),
    )
    def test_whole(self, answer, body, pause_s):
        """An answer that ends before the request was read may be whole."""
        self.broken.answer = answer
        self.assertEqual(PART, self.read_all(body, pause_s))
        wait_for(
            'the upload was read',
            lambda: self.broken.received['r1'] == len(body),
        )


class TestUploads(MachineCase):
    """Uploads at an entry with one such server beside a sound one."""

    entries = ('one',)
    slots = 16
    numbers = itertools.count()

    def setUp(self):
        """Replace the first replica by one that breaks its answers."""
        super().setUp()
        self.allow_uploads()
        self.broken = BrokenReplica()
        self.addCleanup(self.broken.stop)
        self.list_in_first_place(self.broken.start())
        wait_for('uploads are allowed', self._is_allowed)

    def call(self, path: str) -> tuple[int, bytes]:
        """Return the status and the body of the answer to an upload."""
        sent = {
            'X-Attempt-Id': f'u{next(self.numbers)}',
            'X-Request-Deadline': '15000',
        }
        status, _, body = self.site.call('one', 'POST', path, UPLOAD, sent)
        return status, body

    def calls(self, path: str) -> list[tuple[int, bytes]]:
        """Return the outcomes of CALLERS uploads, some at a time."""
        found = []
        for _ in range(CALLERS // 8):
            calls = [gevent.spawn(self.call, path) for _ in range(8)]
            gevent.joinall(calls, raise_error=True)
            found.extend(each.value for each in calls)
        return found

    @params(
        (early(ending=Ending.reset), '/safe/1'),
        (early(ending=Ending.reset, pause_s=0.02), '/safe/1'),
        (early(ending=Ending.reset), '/plain/1'),
        (early(ending=Ending.exit, pause_s=0.02), '/plain/1'),
    )
    def test_part_of_an_answer(self, answer, path):
        """No caller gets a part of an answer as a whole one."""
        self.broken.answer = answer
        found = self.calls(path)
        self.assertTrue(self.broken.runs)
        parts = [body for status, body in found if status == 200]
        self.assertEqual({EVENTS}, set(parts))
        if path == '/safe/1':
            self.assertEqual(CALLERS, len(parts), found)

    def test_early_end(self):
        """A sound server that answers, ends and reads on is believed."""
        self.broken.answer = early(ending=Ending.half)
        found = self.calls('/plain/1')
        served = [body for status, body in found if status == 200]
        self.assertEqual({EVENTS, PART}, set(served))
        self.assertEqual(CALLERS, len(served))

    def _is_allowed(self) -> bool:
        self.broken.answer = early(ending=Ending.half)
        return self.call('/plain/1')[0] == 200
