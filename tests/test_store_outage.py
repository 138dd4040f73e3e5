"""The platform's store fails or hangs for a long time."""

import gevent
from nose2.tools import params

from standins.faults import Fault, FaultKind
from standins.waiting import wait_for
from tests.rig_case import RigCase, job_line

FOREVER = 1_000_000
ITEMS = 60


class TestStoreOutage(RigCase):
    """Online requests are served, batch waits and new jobs are refused."""

    def fail(self, kind: FaultKind = FaultKind.down) -> None:
        """Make all calls to the store fail until the faults are cleared."""
        self.rig.platform.faults.add(Fault(kind, '', FOREVER, 0))

    @params(FaultKind.down, FaultKind.stall)
    def test_online_goes_on(self, kind):
        """Online requests are served while the store is unavailable."""
        self.fail(kind)
        sent = [
            gevent.spawn(self.rig.chat, f'out {n}', n % 2) for n in range(40)
        ]
        gevent.joinall(sent, raise_error=True)
        self.assertEqual({200}, {each.value.status for each in sent})

    def test_running_batch_commits_afterwards(self):
        """Chunks that run during an outage are committed after it."""
        job = self.submit([f'o{n}' for n in range(ITEMS)], tokens=40)
        self.entry_holding(job)
        self.fail()
        gevent.sleep(2.5)
        self.rig.platform.faults.clear()
        self.wait_state(job, 'completed')
        self.check_exactly_once(job, ITEMS)

    def test_acceptance_refuses(self):
        """Uploads and jobs are refused as not run, with a retry time."""
        file = self.upload(job_line(0, 'x')).body['id']
        self.fail()
        for answer in (self.create(file), self.upload(job_line(1, 'y'))):
            self.assertEqual(503, answer.status, answer)
            self.assertTrue(answer.body['error']['not_run'])
            self.assertGreater(answer.body['error']['retry_after_s'], 0)
        self.rig.platform.faults.clear()
        jobs = [key for key in self.rig.platform.table.keys if 'jobs/' in key]
        self.assertEqual([], jobs)

    def test_no_herd_at_the_return(self):
        """Calls to the store stay few during an outage and at its end."""
        self.fail()
        links = [served.subject.parts.table.link for served in self.rig.entries]
        wait_for(
            'open breakers', lambda: all(link.breaker.open for link in links)
        )
        before = sum(self.rig.platform.counts.values())
        gevent.sleep(2)
        during = sum(self.rig.platform.counts.values()) - before
        # Two entries with three links each retry after pauses of 0.25 s
        # and more, which makes some dozens of calls. Without the breaker
        # each link would call 30 times a second.
        self.assertLess(during, 80)
        self.rig.platform.faults.clear()
        wait_for(
            'closed breakers',
            lambda: not any(link.breaker.open for link in links),
        )
