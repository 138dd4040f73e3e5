"""Jobs that an entry accepts right after its start, while the store is slow.

The entry had its configuration from a peer and no reply of the store yet. It
stamped the jobs with the clock of its host: they were given up unrun and
removed, or were to be kept and to wait for days.
"""

import base64
import json

import gevent
from nose2.tools import params

from standins.waiting import wait_for
from tests.machine_case import MachineCase

# The store's clock shows this at the start of a test if it is behind.
BEHIND_S = 100
# Delay of the store's replies in seconds, just below the shortest timeout of an
# entry. Until the first one, peers have sent their configuration.
SLOW_S = 0.24
JOBS = 8
GAP_S = 0.03
APPLIED = '"settings_applied"'
# Longest time in milliseconds between a submission and its stamp, and by how
# much the stamp may be early: a reply's time on its way.
STAMP_BOUND_MS = 1500
REPLY_MS = 100
ACCEPTED = 202
REFUSED = 503


class TestEarlyJobs(MachineCase):
    """One of several entries is killed and starts again in a slow store."""

    entries = ('one', 'two', 'three', 'four', 'five')

    def log(self, name):
        """Return the log of an entry."""
        return self.site.entries[name].log.read_text()

    def is_member(self):
        """Return whether the first entry has the second one as a member."""
        lines = self.log('one').splitlines()
        return any('"member_found"' in x and '"two"' in x for x in lines)

    def submit(self, number):
        """Submit a job; return its id, when it was sent, and the status."""
        gevent.sleep(number * GAP_S)
        sent_ms = self.site.store.clock.now_ms()
        job = f'early{number}'
        return job, sent_ms, self.site.submit('two', job, ['2', '2'])

    def head(self, job):
        """Return the stored head of a job."""
        packed = next(
            stored.packed
            for place, stored in self.site.store.rows.items()
            if place[0] == 'jobs' and place[2] == job
        )
        return json.loads(base64.b64decode(packed))

    @params('ahead', 'behind')
    def test_stamped_by_the_store(self, clock):
        """Each job is accepted at the store's time and runs, or is refused."""
        if clock == 'behind':
            self.site.store.clock.start_at(BEHIND_S)
        self.restart_all_entries()
        wait_for('it is a member', self.is_member)
        before = self.log('two').count(APPLIED)
        self.site.store.response_delay_s = SLOW_S
        self.site.entries['two'].kill()
        self.site.spawn_entry('two')
        wait_for('settings', lambda: self.log('two').count(APPLIED) > before)
        sent = [gevent.spawn(self.submit, number) for number in range(JOBS)]
        replies = [each.get() for each in sent]
        self.site.store.response_delay_s = 0
        self.assertLessEqual({each[2] for each in replies}, {ACCEPTED, REFUSED})
        accepted = [each for each in replies if each[2] == ACCEPTED]
        self.assertTrue(accepted)
        for job, sent_ms, _ in accepted:
            self.wait_done('one', job, 2)
            states = {each['state'] for each in self.site.results('one', job)}
            self.assertEqual({'completed'}, states, job)
            late_ms = self.head(job)['created_ms'] - sent_ms
            self.assertLess(-REPLY_MS, late_ms)
            self.assertLess(late_ms, STAMP_BOUND_MS)
