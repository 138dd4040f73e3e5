"""Tests of servers whose answers are bytes without end."""

import itertools
import time
from pathlib import Path

import gevent
from nose2.tools import params

from standins.machines.endless_replica import EndlessReplica, Part
from standins.waiting import wait_for
from tests.machine_case import MachineCase

CALLS = 6
# Longest time of an answer, in seconds; the requests have four.
BOUND_S = 4.5
KIB = 1024
# How much more memory an entry may have, in kilobytes.
MORE_KIB = 64 * KIB
ITEMS = 4
GONE_S = 6
# A slow answer ends with the time of its request; one that may be repeated is
# then sent to the other replica.
AT_ONCE = tuple((part, False) for part in Part)
SLOWLY = tuple((part, True) for part in (Part.header, Part.extension))


class TestEndlessAnswers(MachineCase):
    """Guards against one server's endless answer that stops an entry."""

    entries = ('one',)
    slots = 8
    numbers = itertools.count()

    def setUp(self):
        """Let the first replica answer without end."""
        super().setUp()
        self.endless = EndlessReplica()
        self.addCleanup(self.endless.stop)
        self.list_in_first_place(self.endless.start())

    def memory_kib(self) -> int:
        """Return the memory of the entry, in kilobytes."""
        pid = self.site.entries['one'].process.pid
        text = Path(f'/proc/{pid}/status').read_text()
        return int(text.partition('VmRSS:')[2].split()[0])

    def call(self, path: str) -> tuple[int, float]:
        """Return the status of a request, and the seconds that it took."""
        sent = {
            'X-Attempt-Id': f'r{next(self.numbers)}',
            'X-Request-Deadline': '4000',
        }
        begun_at = time.monotonic()
        status = self.site.call('one', 'POST', path, b'3 0.01', sent)[0]
        return status, time.monotonic() - begun_at

    def calls(self, path: str) -> list[tuple[int, float]]:
        """Return the outcomes of CALLS requests at the same time."""
        calls = [gevent.spawn(self.call, path) for _ in range(CALLS)]
        gevent.joinall(calls, timeout=3 * BOUND_S)
        return [each.value or (0, 0) for each in calls]

    def check(self, path: str, allowed: set[int]) -> None:
        """Check that all requests are answered in time."""
        before = self.memory_kib()
        found = self.calls(path)
        self.assertLessEqual({status for status, _ in found}, allowed, found)
        self.assertLess(max(took_s for _, took_s in found), BOUND_S)
        self.assertLess(self.memory_kib() - before, MORE_KIB)

    @params(*AT_ONCE, *SLOWLY)
    def test_requests(self, part, slow):
        """All requests are answered in time, and the connections closed.

        Those that may be repeated get 200, unless the answer is a slow one
        that has begun.
        """
        self.endless.part = part
        self.endless.slow = slow
        repeated = {200, 504} if slow else {200}
        self.check('/safe/1', repeated)
        self.check('/again/1', repeated)
        self.check('/plain/1', {200, 502, 504})
        self.assertTrue(self.endless.answers[part])
        wait_for('all are closed', lambda: not self.endless.open, GONE_S)

    @params(*AT_ONCE, *SLOWLY)
    def test_items(self, part, slow):
        """The items of a job are completed, each at the other server."""
        self.endless.part = part
        self.endless.slow = slow
        before = self.memory_kib()
        self.site.submit('one', 'j', ['3 0.01'] * ITEMS)
        self.wait_done('one', 'j', ITEMS)
        found = {each['state'] for each in self.site.results('one', 'j')}
        self.assertEqual({'completed'}, found)
        self.assertLess(self.memory_kib() - before, MORE_KIB)
        wait_for('all are closed', lambda: not self.endless.open, GONE_S)
