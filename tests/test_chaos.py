"""Seeded schedules of overlapping faults, with guarantees checked after."""

import os
import random

import gevent
from geventhttpclient.response import HTTPParseError
from nose2.tools import params

from standins.faults import Fault, FaultKind
from standins.local_fleet import YAZMAN
from tests.rig_case import RigCase

SEEDS = tuple(range(int(os.environ.get('CHAOS_SEEDS', '8'))))
STEPS = 12
ITEMS = 90
REGISTERS = '/services/defter/registers/1'
CONNECTION_ERRORS = (OSError, HTTPParseError)


class TestChaos(RigCase):
    """Jobs and calls run while faults are injected at random."""

    @params(*SEEDS)
    def test_schedule(self, seed):
        """Items complete exactly once and calls run at most once."""
        self.rng = random.Random(seed)
        self.versions: dict[int, int] = {}
        self.unknown_outcomes: list[str] = []
        texts = [f'chaos {seed} {n}' for n in range(ITEMS)]
        job = self.submit(texts, tokens=20)
        callers = [gevent.spawn(self.call_once, n) for n in range(30)]
        for _ in range(STEPS):
            self.inject_fault()
            gevent.sleep(self.rng.uniform(0.05, 0.4))
            self.check_versions()
        self.rig.platform.faults.clear()
        gevent.joinall(callers, raise_error=True)
        self.wait_state(job, 'completed')
        self.check_exactly_once(job, ITEMS)
        self.check_at_most_once()

    def inject_fault(self) -> None:
        """Inject one fault that the seeded generator chooses."""
        kinds = (
            self.lose_entry,
            self.restart_sidecar,
            self.crash_engine,
            self.cut_links,
            self.silence_links,
            self.disturb_store,
            self.change_settings,
        )
        self.rng.choice(kinds)()

    def lose_entry(self) -> None:
        """Start an entry, then kill one of the older ones."""
        self.rig.add_entry(seed_peers=(str(self.rig.entries[0].address),))
        self.rig.kill_entry(self.rng.choice(self.rig.entries[:-1]))

    def restart_sidecar(self) -> None:
        """Kill a sidecar and start another one at its address."""
        self.rig.restart_sidecar(self.rng.randrange(2))

    def crash_engine(self) -> None:
        """Make an engine lose all its streams."""
        self.rng.choice(self.rig.engines).subject.batch.crash()

    def cut_links(self) -> None:
        """Close the open connections of two links."""
        for link in self.rng.sample(self.rig.forwarders, 2):
            link.shut_down_connections()

    def silence_links(self) -> None:
        """Make the open connections of two links silent."""
        for link in self.rng.sample(self.rig.forwarders, 2):
            link.stall_connections()

    def disturb_store(self) -> None:
        """Make 1 to 14 store calls fail, lose their response or be slow."""
        kind = self.rng.choice(
            (FaultKind.down, FaultKind.lose_answer, FaultKind.slow),
        )
        count = self.rng.randrange(1, 15)
        self.rig.platform.faults.add(Fault(kind, '', count, 0.3))

    def change_settings(self) -> None:
        """Try to change a setting as an operator; the change may be refused."""
        share = self.rng.choice((0.5, 0.6, 0.7))
        path = f'/admin/settings{YAZMAN}'
        admin = {'Authorization': 'Bearer admin'}
        old = self.rig.call(self.rig.entries[-1], path, None, admin, 'GET')
        if old.status == 200:
            raw = {**old.body['raw'], 'batch_share': share}
            message = {'raw': raw, 'if_version': old.body['version']}
            self.rig.call(self.rig.entries[-1], path, message, admin, 'PUT')

    def call_once(self, number: int) -> None:
        """Send a non-repeatable call once."""
        gevent.sleep(number * 0.1)
        served = self.rng.choice(self.rig.entries)
        body = f'once {number}'
        try:
            self.rig.call(served, REGISTERS, body)
        except CONNECTION_ERRORS:
            # The entry was killed, so its caller does not learn the outcome.
            self.unknown_outcomes.append(body)

    def check_versions(self) -> None:
        """Check that no entry returned to an older version of the settings."""
        for served in self.rig.entries:
            now = served.subject.parts.tree.version
            before = self.versions.get(id(served.subject), 0)
            self.assertGreaterEqual(now, before)
            self.versions[id(served.subject)] = now

    def check_at_most_once(self) -> None:
        """Check that the service received no call twice."""
        bodies = [call['body'] for call in self.rig.plain.subject.calls]
        self.assertEqual(len(set(bodies)), len(bodies))
