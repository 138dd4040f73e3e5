"""The log shows the parts of the time from a holder's loss to the next item.

Without these fields it shows only the sum, and not whether the lease, the
ranks, the store or the lack of a free slot took it.
"""

import itertools
import json
from unittest import mock

from cactusridge import events, logs
from cactusridge.jobs.lease_times import MEMBER_LEASE_S
from cactusridge.jobs.membership import RENEW_INTERVAL_S
from cactusridge.jobs.model import JobHead
from cactusridge.jobs.orphans import RANK_DELAY_S, Orphans
from standins.waiting import wait_for
from tests.machine_case import MachineCase
from tests.test_spoilt_members import MemberCase

# A renewal, a poll and a slow moment of the machine, in seconds.
SLACK_S = 3.0
# Jobs of the entry that has started again, enough for each rank.
JOBS = 12


class TestTakeoverFields(MemberCase):
    """The fields of one takeover by a manual clock."""

    def setUp(self):
        """Let the second entry hold a job that the first one takes over."""
        super().setUp()
        self.orphans = Orphans(self.one, self.clock)
        self.head = JobHead(
            'j', 'h', '/p/', 1, 0, 'two', self.two.me.life, version=4
        )

    def choose_head(self, rank):
        """Choose a job for which the first entry has this rank."""
        heads = (
            self.head._replace(id=f'j{number}') for number in itertools.count()
        )
        self.head = next(
            each for each in heads if self.orphans.rank(each) == rank
        )

    def taken(self):
        """Take the job over after 0.25 s; return the fields of the line."""
        self.clock.advance(0.25)
        with mock.patch.object(logs, 'emit') as emit:
            self.orphans.taken_over(self.head, 5)
        self.assertEqual((events.JOB_TAKEN,), emit.call_args.args)
        return emit.call_args.kwargs

    def poll(self, wanted):
        """Check whether the job is to be taken over now."""
        self.assertEqual(wanted, self.orphans.should_take_over(self.head))

    def test_lost(self):
        """A lost holder was silent for its lease before it was noticed."""
        self.poll(wanted=False)
        for _ in range(4):
            self.clock.advance(MEMBER_LEASE_S / 4)
            self.three.renew_and_read()
            self.one.renew_and_read()
        self.choose_head(1)
        self.poll(wanted=False)
        self.clock.advance(RANK_DELAY_S + 0.1)
        self.poll(wanted=True)
        found = self.taken()
        wanted = {
            'job': self.head.id,
            'previous': 'two',
            'version': 5,
            'silent_s': round(MEMBER_LEASE_S + RANK_DELAY_S + 0.35, 3),
            'orphaned_s': round(RANK_DELAY_S + 0.35, 3),
            'rank': 1,
            'write_s': 0.25,
        }
        self.assertEqual(wanted, found)

    def test_left(self):
        """An entry that left has no row and was silent for no time."""
        self.two.leave()
        self.one.renew_and_read()
        self.choose_head(0)
        self.poll(wanted=True)
        found = self.taken()
        self.assertIsNone(found['silent_s'])
        self.assertEqual(0.25, found['orphaned_s'])


class TestReturned(MemberCase):
    """Takeovers of jobs whose holder has started again."""

    def setUp(self):
        """Let the second entry start again, and the others read its row."""
        super().setUp()
        self.lost = self.two.me.life
        self.two = self.session('two')
        for each in (self.two, self.one, self.three):
            each.renew_and_read()

    def heads(self):
        """Return jobs of the earlier process, which others are to take."""
        return [
            JobHead(f'j{number}', 'h', '/p/', 1, 0, 'two', self.lost)
            for number in range(JOBS)
        ]

    def test_at_once(self):
        """An entry takes the jobs of its earlier process without a delay.

        It would wait 0.4 s for each entry that is ranked before it.
        """
        orphans = Orphans(self.two, self.clock)
        waiting = [
            each.id
            for each in self.heads()
            if not orphans.should_take_over(each)
        ]
        self.assertEqual([], waiting)

    def test_one_first(self):
        """The other entries let it go first and do not read the same jobs."""
        for session in (self.one, self.three):
            orphans = Orphans(session, self.clock)
            taken = [
                each.id
                for each in self.heads()
                if orphans.should_take_over(each)
            ]
            self.assertEqual([], taken)

    def test_next(self):
        """Another entry takes the jobs that it does not take."""
        orphans = [Orphans(each, self.clock) for each in (self.one, self.three)]
        for head in self.heads():
            for each in orphans:
                each.should_take_over(head)
        self.clock.advance(RANK_DELAY_S)
        for head in self.heads():
            taken = [each.should_take_over(head) for each in orphans]
            self.assertEqual(1, sum(taken))

    def test_gone(self):
        """The first of the live entries takes the jobs of one that is gone."""
        self.two.leave()
        self.one.renew_and_read()
        self.three.renew_and_read()
        orphans = [Orphans(each, self.clock) for each in (self.one, self.three)]
        for head in self.heads():
            taken = [each.should_take_over(head) for each in orphans]
            self.assertEqual(1, sum(taken))


class TestTakeoverLines(MachineCase):
    """The lines of a real takeover."""

    def lines(self, name):
        """Return the lines that an entry wrote about the job, by event."""
        found = {}
        for line in self.site.entries[name].log.read_text().splitlines():
            if '"j1"' in line:
                fields = json.loads(line)
                found.setdefault(fields['event'], []).append(fields)
        return found

    def test_killed(self):
        """The parts are there and the job's first item follows at once."""
        status = self.site.submit('one', 'j1', ['200 0.05'] * 3)
        self.assertEqual(202, status)
        wait_for('its items run', lambda: 'item_started' in self.lines('one'))
        self.site.entries['one'].kill()
        wait_for('a new start', lambda: 'item_started' in self.lines('two'))
        found = self.lines('two')
        taken = found['job_taken'][0]
        least_s = MEMBER_LEASE_S
        self.assertGreaterEqual(taken['silent_s'], least_s)
        self.assertLess(taken['silent_s'], least_s + SLACK_S)
        self.assertLess(taken['orphaned_s'], SLACK_S)
        self.assertLessEqual(taken['write_s'], taken['orphaned_s'])
        self.assertEqual(0, taken['rank'])
        self.assertLess(found['item_started'][0]['held_s'], RENEW_INTERVAL_S)
