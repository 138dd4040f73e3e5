"""Real entries are killed at the worst moments."""

import itertools
from typing import Any

from nose2.tools import params

from standins.faults import FaultKind
from standins.waiting import wait_for
from tests import jobs_client
from tests.fleet_case import FleetCase

ITEMS = 96
# A write of a span with at least one chunk done, as it goes to the table.
COMMIT = '"done":{"'
MANY = 1000


class TestKilled(FleetCase):
    """SIGKILL; the other entry goes on."""

    def tearDown(self) -> None:
        """Have two entries again."""
        for number, name in enumerate(self.fleet.names_of_kind('entry')):
            if self.fleet.processes[name].process.poll() is not None:
                self.fleet.start_entry(number)
        self.fleet.wait_ready()

    def finish(self, job: str, name: str) -> None:
        """Wait for the job at an entry; check that all came once."""
        api = self.client(name)
        jobs_client.wait_completed(api, job)
        counts = jobs_client.result_counts(api, job)
        self.assertEqual(jobs_client.once(ITEMS), counts)

    def test_right_after_acceptance(self):
        """The other entry runs the job."""
        texts = [f'kill {number}' for number in range(ITEMS)]
        job = jobs_client.submit(self.client('entry-0'), texts, 10)
        self.fleet.processes['entry-0'].kill()
        self.finish(job, 'entry-1')

    @params((FaultKind.stall, MANY), (FaultKind.lose_answer, 1))
    def test_at_a_commit(self, kind, count):
        """Results are written, the commit is not or its answer is lost."""
        texts = [f'{kind} {number}' for number in range(ITEMS)]
        before = len(self.hits())
        self.fault(kind, COMMIT, count)
        job = jobs_client.submit(self.client('entry-0'), texts, 10)
        wait_for('a commit', lambda: len(self.hits()) > before)
        name = self.committing(self.hits()[before])
        self.fleet.processes[name].kill()
        self.clear_faults()
        self.finish(job, self.other(name))
        self.check_commits()

    def committing(self, hit: str) -> str:
        """Return the entry whose commit met the fault."""
        return next(
            name
            for name in self.fleet.names_of_kind('entry')
            if str(self.fleet.addresses[name]) in hit
        )

    def check_commits(self) -> None:
        """Check that no committed pointer was ever changed."""
        seen: dict[tuple[str, str], str] = {}
        for key, stored in self.span_writes():
            for chunk, pointer in stored['done'].items():
                first = seen.setdefault((key, chunk), pointer)
                self.assertEqual(first, pointer)

    def span_writes(self) -> list[tuple[str, Any]]:
        """Return every write of a span, in order."""
        writes = itertools.chain.from_iterable(
            commit['writes'] for commit in self.history()
        )
        return [
            (key, stored)
            for key, stored in writes
            if stored and key.startswith('spans/')
        ]
