"""A test case over a fleet of real processes."""

import itertools
import signal
import tempfile
from pathlib import Path
from typing import Any

from openai import OpenAI

from standins.faults import FaultKind
from standins.fleet_plan import FleetPlan
from standins.local_fleet import LocalFleet
from standins.waiting import wait_for
from tests.kept_logs import KeptLogsCase

DEMO = {'Authorization': 'Bearer demo'}
SHORT = {'lease_s': 3, 'lease_margin_s': 0.5, 'scan_s': 0.2}
PLAN = FleetPlan(
    entries=2,
    sidecars=2,
    entry_extra={'batch': SHORT, 'report_s': 2},
)


class FleetCase(KeptLogsCase):
    """Starts a fleet for each test class and kills it after the tests."""

    plan = PLAN
    fleet: LocalFleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet."""
        cls.folder = tempfile.TemporaryDirectory()
        cls.log_folder = Path(cls.folder.name)
        cls.fleet = LocalFleet(cls.log_folder, cls.plan)
        cls.addClassCleanup(cls.folder.cleanup)
        cls.addClassCleanup(cls.fleet.kill_all)
        cls.fleet.start()

    def client(self, name: str) -> OpenAI:
        """Return an OpenAI client of one entry that never retries."""
        return OpenAI(
            api_key='demo',
            base_url=f'{self.fleet.url(name)}/v1',
            max_retries=0,
        )

    def get(self, name: str, path: str) -> Any:
        """Return the JSON of a GET."""
        return self.fleet.call(name, path, None, DEMO, 'GET')[1]

    def history(self) -> list[dict[str, Any]]:
        """Return all commits to the platform's table, in order."""
        path = '/control/history'
        return self.fleet.call('platform', path, method='GET')[1]['history']

    def fault(self, kind: FaultKind, match: str, count: int) -> None:
        """Make the platform inject a fault into ``count`` calls that match."""
        message = {'kind': kind, 'match': match, 'count': count}
        self.fleet.call('platform', '/control/faults', message)

    def clear_faults(self) -> None:
        """Remove all faults from the platform."""
        self.fleet.call('platform', '/control/faults', method='DELETE')

    def hits(self) -> list[str]:
        """Return the calls into which the platform has injected a fault."""
        found = self.fleet.call('platform', '/control/hits', method='GET')
        return found[1]['hits']

    def holder(self, job: str) -> str:
        """Wait until an entry holds a span of a job; return its name."""
        return self.name_of(wait_for('a holder', lambda: self.holders(job))[0])

    def holders(self, job: str) -> list[str]:
        """Return the holders of a job's spans from the platform's table."""
        found = {
            key: stored and stored['holder']
            for commit in self.history()
            for key, stored in commit['writes']
            if key.startswith('spans/') and job in key
        }
        return [holder for holder in found.values() if holder]

    def name_of(self, holder: str) -> str:
        """Return the name of the process that a holder belongs to."""
        address = holder.partition('~')[0]
        return next(
            name
            for name, found in self.fleet.addresses.items()
            if str(found) == address
        )

    def other(self, name: str) -> str:
        """Return the entry that is not ``name``."""
        return 'entry-1' if name == 'entry-0' else 'entry-0'

    def suspend(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.fleet.processes[name].send(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process; wait until it responds."""
        self.fleet.processes[name].send(signal.SIGCONT)
        wait_for(f'a response of {name}', lambda: self.responds(name))

    def responds(self, name: str) -> bool:
        """Return whether a process responds with status 200."""
        return self.fleet.call(name, '/livez', method='GET')[0] == 200

    def executions(self, text: str) -> int:
        """Return how often engines started prompts with ``text``."""
        path = '/control/executions'
        found = [
            self.fleet.call(name, path, method='GET')[1]['executions']
            for name in self.fleet.names_of_kind('engine')
        ]
        begun = itertools.chain.from_iterable(found)
        return sum(text in each['prompt'] for each in begun)
