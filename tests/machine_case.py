"""A test case with entry processes, a stand-in store and replicas."""

import tempfile
from pathlib import Path

from cactusridge.http.client import Address
from standins.machines.site import ROUTES, MachineSite
from standins.waiting import wait_for
from tests.kept_logs import KeptLogsCase

JOB_WAIT_S = 40
# Part of a log line about a new or changed replica.
LISTED = '"replica_found"'


def request_headers(request_id: str) -> dict[str, str]:
    """Return the headers of a request with four seconds left."""
    return {'X-Attempt-Id': request_id, 'X-Request-Deadline': '4000'}


class MachineCase(KeptLogsCase):
    """Starts a site with two replicas and entries for each test."""

    replicas = 2
    slots = 4
    entries: tuple[str, ...] = ('one', 'two')

    def setUp(self):
        """Start the site."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log_folder = Path(folder.name)
        self.site = MachineSite(self.log_folder, self.replicas, self.slots)
        self.addCleanup(self.site.stop)
        self.site.start()
        for name in self.entries:
            self.site.start_entry(name)

    def allow_uploads(self) -> None:
        """Let callers send 8 MB, and wait long for replicas that read them.

        Otherwise a request that a busy machine is late with is sent to another
        replica, which uses its attempts.
        """
        patient = {'target_latency_ms': 3000, 'max_attempts': 3}
        routes = [{**route, **patient} for route in ROUTES]
        self.site.configure(routes, limits={'max_body_bytes': 8 << 20})

    def list_in_first_place(self, address: Address) -> None:
        """List another server under the id of the first replica."""
        before = len(self.log_lines(LISTED))
        self.site.register(self.site.replicas[0], address)
        wait_for('it is listed', lambda: len(self.log_lines(LISTED)) > before)

    def restart_all_entries(self) -> None:
        """Kill all entries and start them again."""
        for process in self.site.entries.values():
            process.kill()
        for name in self.entries:
            self.site.start_entry(name)

    def log_lines(self, text: str) -> list[str]:
        """Return the log lines of all entries that contain ``text``."""
        logs = self.log_folder.glob('*.log')
        lines = (line for log in logs for line in log.read_text().splitlines())
        return [line for line in lines if text in line]

    def runs(self, request_id: str) -> int:
        """Return how many times replicas ran a request."""
        return sum(each.runs[request_id] for each in self.site.replicas)

    def wait_done(self, entry: str, job: str, count: int) -> list[str]:
        """Wait until ``count`` results are listed; return their ids."""
        wait_for(
            f'{count} results of {job}',
            lambda: len(self.site.results(entry, job)) == count,
            JOB_WAIT_S,
        )
        return [each['id'] for each in self.site.results(entry, job)]
