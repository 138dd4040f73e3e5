"""Jobs of entries that restart run again without needless delays.

After a power loss of all entries the open jobs waited for the delay per rank
and for the next poll, up to several seconds in a large fleet, although their
holders were back.
"""

import itertools
import json
import unittest
from unittest import mock

import gevent
from nose2.tools import params

from cactusridge.errors import StoreUnavailable
from cactusridge.hashing import hash64, rendezvous
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.keys import head_key
from cactusridge.jobs.lease_times import MEMBER_LEASE_S
from cactusridge.jobs.manager import ORPHAN_POLL_S
from cactusridge.jobs.model import JobHead, head_value
from cactusridge.jobs.orphans import (
    RANK_DELAY_S,
    UNREADABLE_PAUSE_S,
    Orphans,
)
from cactusridge.platform.job_parts import JobParts
from cactusridge.store.table import Row
from cactusridge.store.unreadable import UnreadableRecord
from standins.waiting import wait_for
from tests.emitted import emitted
from tests.machine_case import MachineCase
from tests.test_spoilt_members import MemberCase


def head(holder, life, job_id='j'):
    """Return the head of a job."""
    return JobHead(job_id, 'h', '/p/', 1, 0, holder, life, version=4)


class TestRanks(MemberCase):
    """Who takes over a job of a restarted entry, by a manual clock."""

    def setUp(self):
        """Let a new process replace the second entry."""
        super().setUp()
        self.old_life = self.two.me.life
        self.two = self.session('two')
        for each in (self.two, self.one, self.three):
            each.renew_and_read()

    def due(self, session, job):
        """Return whether the entry of ``session`` takes over a job at once."""
        return Orphans(session, self.clock).should_take_over(job)

    def jobs(self, holder, life):
        """Return jobs for which each entry has each rank."""
        return [head(holder, life, f'j{number}') for number in range(20)]

    def test_own_jobs(self):
        """An entry takes over each job of its earlier process at once."""
        for job in self.jobs('two', self.old_life):
            self.assertTrue(self.due(self.two, job))

    @params(
        (UnreadableRecord('its items'), False),
        (StoreUnavailable(), True),
    )
    def test_failed_takeover(self, exc, due):
        """An own job that cannot be read is delayed, and no other job is."""
        failing, other = self.jobs('two', self.old_life)[:2]
        orphans = Orphans(self.two, self.clock)
        self.assertTrue(orphans.should_take_over(failing))
        with emitted():
            orphans.takeover_failed(failing, exc)
        self.clock.advance(ORPHAN_POLL_S)
        self.assertEqual(due, orphans.should_take_over(failing))
        self.assertTrue(orphans.should_take_over(other))
        self.clock.advance(UNREADABLE_PAUSE_S)
        self.assertTrue(orphans.should_take_over(failing))

    def test_of_another(self):
        """One of the other entries at most takes over at once, by rank."""
        for job in self.jobs('two', self.old_life):
            ranked = [self.due(each, job) for each in (self.one, self.three)]
            self.assertLessEqual(sum(ranked), 1)

    def test_without_the_holder(self):
        """The next rank follows if no entry before it takes over."""
        job = next(
            job
            for job in self.jobs('two', self.old_life)
            if Orphans(self.one, self.clock).rank(job) == 1
        )
        orphans = Orphans(self.one, self.clock)
        self.assertFalse(orphans.should_take_over(job))
        self.clock.advance(RANK_DELAY_S)
        self.assertTrue(orphans.should_take_over(job))

    def test_of_a_live_holder(self):
        """The jobs of the current process are never taken over by others."""
        for job in self.jobs('two', self.two.me.life):
            self.assertFalse(self.due(self.one, job))
        self.clock.advance(MEMBER_LEASE_S / 2)
        for job in self.jobs('two', self.two.me.life):
            self.assertFalse(self.due(self.three, job))


class TestPolls(unittest.TestCase):
    """The first poll follows the first reads at once."""

    def parts(self):
        """Return the job parts of an entry whose lease is not valid."""
        parts = object.__new__(JobParts)
        parts.manager = mock.Mock()
        parts.session = mock.Mock()
        parts.session.lease_is_valid.return_value = False
        parts.heads = JobHeads()
        parts.connect_reads()
        return parts

    def polls(self, parts):
        """Return how many polls follow within a fifth of the interval."""
        polling = gevent.spawn(parts.poll_orphans)
        gevent.sleep(0.05)
        polling.kill()
        return parts.manager.poll.call_count

    def test_heads(self):
        """A read of all heads is followed by a poll, one of changes is not."""
        parts = self.parts()
        key = head_key('j')
        parts.heads.put(Row(key, head_value(head('one', 'x')), 4))
        parts.heads.up_to_date(0, whole=False)
        self.assertEqual(0, self.polls(parts))
        parts.heads.up_to_date(0, whole=True)
        self.assertEqual(1, self.polls(parts))

    @params((False, True, 1), (True, True, 0), (False, False, 0))
    def test_members(self, before, after, polls):
        """The renewal that makes the lease valid is followed by a poll."""
        parts = self.parts()
        parts.session.lease_is_valid.side_effect = [before, after]
        parts.renew()
        self.assertEqual(polls, self.polls(parts))


class TestRestart(MachineCase):
    """Real entries that are lose power at the same moment."""

    entries = ('one', 'two', 'three')

    def lines(self, name, event):
        """Return the lines of an event that an entry has logged."""
        lines = self.site.entries[name].log.read_text().splitlines()
        return [json.loads(each) for each in lines if f'"{event}"' in each]

    def test_own_job(self):
        """An entry that is back alone resumes its job at its first reads.

        The other entries do not start again, and their rows are still valid.
        """
        job = next(
            f'job{number}'
            for number in itertools.count()
            if rendezvous(self.entries, hash64(f'job{number}'))[-1] == 'one'
        )
        self.site.submit('one', job, ['40 0.05'] * 2)
        wait_for('an item', lambda: self.lines('one', 'item_started'))
        for name in self.entries:
            self.site.entries[name].kill()
        self.site.spawn_entry('one')
        taken = wait_for('taken', lambda: self.lines('one', 'job_taken'))[0]
        self.assertEqual('one', taken['previous'])
        self.assertEqual(0, taken['rank'])
        self.assertLess(taken['orphaned_s'], RANK_DELAY_S)
        listed = self.wait_done('one', job, 2)
        self.assertEqual(2, len(set(listed)))
