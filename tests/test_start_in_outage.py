"""Entries that start while the store is unavailable recover with it.

The pauses between attempts grew to 0.8 s, and a failed renewal was repeated
after one second, so that entries stood idle after the store was back.
"""

import unittest
from unittest import mock

import gevent

from cactusridge.clock import ManualClock
from cactusridge.errors import StoreUnavailable
from cactusridge.jobs.membership import RENEW_INTERVAL_S
from cactusridge.platform.job_parts import JobParts
from cactusridge.store.contact import StoreContact
from cactusridge.store.table_follower import MAX_PAUSE_S, TableFollower
from tests.scripted_watch import Rows, ScriptedWatch

# Longest pause of an entry that cannot serve yet, in seconds: a fraction of
# the second after which a power loss may be over.
FIRST_PAUSE_BOUND_S = 0.25
FAILURES = 12


class TestPauses(unittest.TestCase):
    """The pauses after failed attempts, with a scripted store."""

    def pauses(self, *first):
        """Return the pauses of a follower after failed reads.

        ``first`` are the outcomes of the reads before.
        """
        watch = ScriptedWatch()
        clock = ManualClock()
        contact = StoreContact(clock)
        follower = TableFollower(watch, 't', ['t//'], Rows(), clock, contact)
        for _ in first:
            follower.step()
        watch.failures = [StoreUnavailable() for _ in range(FAILURES)]
        with mock.patch.object(gevent, 'sleep') as sleep:
            for _ in range(FAILURES):
                follower.step()
        return [call.args[0] for call in sleep.call_args_list]

    def test_before_the_first_read(self):
        """The pauses stay short until the table has been read once."""
        pauses = self.pauses()
        self.assertEqual(FAILURES, len(pauses))
        self.assertLessEqual(max(pauses), FIRST_PAUSE_BOUND_S)

    def test_after_the_first_read(self):
        """An entry that can serve backs off as before."""
        self.assertGreaterEqual(max(self.pauses('read')), MAX_PAUSE_S / 2)

    def test_membership(self):
        """Renewals are repeated soon until the entry is a member."""
        parts = object.__new__(JobParts)
        parts.session = mock.Mock(has_joined=False)
        parts.renew = mock.Mock()
        with mock.patch.object(gevent, 'sleep') as sleep:
            parts.keep_membership()
            parts.session.has_joined = True
            parts.keep_membership()
        waits = [call.args[0] for call in sleep.call_args_list]
        self.assertLessEqual(waits[0], FIRST_PAUSE_BOUND_S)
        self.assertEqual(RENEW_INTERVAL_S, waits[1])
        self.assertEqual(2, parts.renew.call_count)
