"""Entry processes are killed after acceptance and during a commit."""

import itertools
from typing import Any

from nose2.tools import params

from standins.faults import FaultKind
from standins.waiting import wait_for
from tests import jobs_client
from tests.fleet_case import FleetCase

ITEMS = 96
# Part of each write to the table of a span with at least one committed chunk.
COMMIT = '"done":{"'
STALLED_CALLS = 1000


class TestKilled(FleetCase):
    """An entry gets SIGKILL, and the other entry finishes the job."""

    def tearDown(self) -> None:
        """Restart killed entries."""
        for number, name in enumerate(self.fleet.names_of_kind('entry')):
            if self.fleet.processes[name].process.poll() is not None:
                self.fleet.start_entry(number)
        self.fleet.wait_ready()

    def finish(self, job: str, name: str) -> None:
        """Wait for a job at an entry; check that each item has one result."""
        api = self.client(name)
        jobs_client.wait_completed(api, job)
        counts = jobs_client.result_counts(api, job)
        self.assertEqual(jobs_client.once(ITEMS), counts)

    def test_right_after_acceptance(self):
        """The other entry runs a job whose accepting entry was killed."""
        texts = [f'kill {number}' for number in range(ITEMS)]
        job = jobs_client.submit(self.client('entry-0'), texts, 10)
        self.fleet.processes['entry-0'].kill()
        self.finish(job, 'entry-1')

    @params((FaultKind.stall, STALLED_CALLS), (FaultKind.lose_answer, 1))
    def test_at_a_commit(self, kind, count):
        """Each item has one result when an entry is killed during a commit.

        The results are written; the commit stalls, or its response is lost.
        """
        texts = [f'{kind} {number}' for number in range(ITEMS)]
        before = len(self.hits())
        self.fault(kind, COMMIT, count)
        job = jobs_client.submit(self.client('entry-0'), texts, 10)
        wait_for('a commit', lambda: len(self.hits()) > before)
        name = self.committing_entry(self.hits()[before])
        self.fleet.processes[name].kill()
        self.clear_faults()
        self.finish(job, self.other(name))
        self.check_commits()

    def committing_entry(self, hit: str) -> str:
        """Return the entry whose commit matched the fault."""
        return next(
            name
            for name in self.fleet.names_of_kind('entry')
            if str(self.fleet.addresses[name]) in hit
        )

    def check_commits(self) -> None:
        """Check that no committed chunk pointer was changed later."""
        seen: dict[tuple[str, str], str] = {}
        for key, stored in self.span_writes():
            for chunk, pointer in stored['done'].items():
                first = seen.setdefault((key, chunk), pointer)
                self.assertEqual(first, pointer)

    def span_writes(self) -> list[tuple[str, Any]]:
        """Return all writes of spans in the order of their commits."""
        writes = itertools.chain.from_iterable(
            commit['writes'] for commit in self.history()
        )
        return [
            (key, stored)
            for key, stored in writes
            if stored and key.startswith('spans/')
        ]
