"""A test case over a fleet of real processes."""

import itertools
import signal
import tempfile
import unittest
from pathlib import Path
from typing import Any

from openai import OpenAI

from standins.faults import FaultKind
from standins.fleet_plan import FleetPlan
from standins.local_fleet import LocalFleet
from standins.waiting import wait_for

DEMO = {'Authorization': 'Bearer demo'}
SHORT = {'lease_s': 3, 'lease_margin_s': 0.5, 'scan_s': 0.2}
PLAN = FleetPlan(
    entries=2,
    sidecars=2,
    entry_extra={'batch': SHORT, 'report_s': 2},
)


class FleetCase(unittest.TestCase):
    """Starts a fleet for the class and ends it whatever happens."""

    plan = PLAN
    fleet: LocalFleet

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet."""
        cls.folder = tempfile.TemporaryDirectory()
        cls.fleet = LocalFleet(Path(cls.folder.name), cls.plan)
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
        """Return every commit to the platform's table."""
        path = '/control/history'
        return self.fleet.call('platform', path, method='GET')[1]['history']

    def fault(self, kind: FaultKind, match: str, count: int) -> None:
        """Let the platform show a fault on calls that match."""
        message = {'kind': kind, 'match': match, 'count': count}
        self.fleet.call('platform', '/control/faults', message)

    def clear_faults(self) -> None:
        """Let the platform show no fault any more."""
        self.fleet.call('platform', '/control/faults', method='DELETE')

    def hits(self) -> list[str]:
        """Return the calls on which the platform has shown a fault."""
        found = self.fleet.call('platform', '/control/hits', method='GET')
        return found[1]['hits']

    def holder(self, job: str) -> str:
        """Wait until an entry holds a span of a job; return its name."""
        return self.name_of(wait_for('a holder', lambda: self.holders(job))[0])

    def holders(self, job: str) -> list[str]:
        """Return who holds spans of a job now, by the platform's table."""
        found = {
            key: stored and stored['holder']
            for commit in self.history()
            for key, stored in commit['writes']
            if key.startswith('spans/') and job in key
        }
        return [holder for holder in found.values() if holder]

    def name_of(self, holder: str) -> str:
        """Return the process behind a holder's name."""
        address = holder.partition('~')[0]
        return next(
            name
            for name, found in self.fleet.addresses.items()
            if str(found) == address
        )

    def other(self, name: str) -> str:
        """Return the entry that is not ``name``."""
        return 'entry-1' if name == 'entry-0' else 'entry-0'

    def freeze(self, name: str) -> None:
        """Stop a process without its knowing."""
        self.fleet.processes[name].send(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on; wait until it answers."""
        self.fleet.processes[name].send(signal.SIGCONT)
        wait_for(f'{name} awake', lambda: self.answers(name))

    def answers(self, name: str) -> bool:
        """Tell whether a process answers."""
        return self.fleet.call(name, '/livez', method='GET')[0] == 200

    def executions(self, text: str) -> int:
        """Return how many executions the engines began for ``text``."""
        path = '/control/executions'
        found = [
            self.fleet.call(name, path, method='GET')[1]['executions']
            for name in self.fleet.names_of_kind('engine')
        ]
        begun = itertools.chain.from_iterable(found)
        return sum(text in each['prompt'] for each in begun)
