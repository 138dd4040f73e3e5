"""A seeded schedule of faults, together and twice; promises at the end."""

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
BROKEN = (OSError, HTTPParseError)


class TestChaos(RigCase):
    """Jobs and calls go on while things break."""

    @params(*SEEDS)
    def test_schedule(self, seed):
        """Whatever the schedule, each promise holds at the end."""
        self.rng = random.Random(seed)
        self.versions: dict[int, int] = {}
        self.unknown: list[str] = []
        texts = [f'chaos {seed} {n}' for n in range(ITEMS)]
        job = self.submit(texts, tokens=20)
        callers = [gevent.spawn(self.call_once, n) for n in range(30)]
        for _ in range(STEPS):
            self.break_something()
            gevent.sleep(self.rng.uniform(0.05, 0.4))
            self.check_versions()
        self.rig.platform.faults.clear()
        gevent.joinall(callers, raise_error=True)
        self.wait_state(job, 'completed')
        self.check_exactly_once(job, ITEMS)
        self.check_at_most_once()

    def break_something(self) -> None:
        """Do one bad thing, as the seed says."""
        kinds = (
            self.lose_entry,
            self.restart_sidecar,
            self.crash_engine,
            self.cut_links,
            self.silence_links,
            self.trouble_store,
            self.change_settings,
        )
        self.rng.choice(kinds)()

    def lose_entry(self) -> None:
        """Lose an entry after another has come."""
        self.rig.add_entry(seed_peers=(str(self.rig.entries[0].address),))
        self.rig.kill_entry(self.rng.choice(self.rig.entries[:-1]))

    def restart_sidecar(self) -> None:
        """Lose a sidecar; another starts at its address."""
        self.rig.restart_sidecar(self.rng.randrange(2))

    def crash_engine(self) -> None:
        """Let an engine lose all its streams."""
        self.rng.choice(self.rig.engines).subject.batch.crash()

    def cut_links(self) -> None:
        """End open connections."""
        for link in self.rng.sample(self.rig.forwarders, 2):
            link.shut_down_connections()

    def silence_links(self) -> None:
        """Let open connections go silent."""
        for link in self.rng.sample(self.rig.forwarders, 2):
            link.stall_connections()

    def trouble_store(self) -> None:
        """Let some calls to the store fail."""
        kind = self.rng.choice(
            (FaultKind.down, FaultKind.lose_answer, FaultKind.slow),
        )
        count = self.rng.randrange(1, 15)
        self.rig.platform.faults.add(Fault(kind, '', count, 0.3))

    def change_settings(self) -> None:
        """Let an operator try a change; it may be refused."""
        share = self.rng.choice((0.5, 0.6, 0.7))
        path = f'/admin/settings{YAZMAN}'
        admin = {'Authorization': 'Bearer admin'}
        old = self.rig.call(self.rig.entries[-1], path, None, admin, 'GET')
        if old.status == 200:
            raw = {**old.body['raw'], 'batch_share': share}
            message = {'raw': raw, 'if_version': old.body['version']}
            self.rig.call(self.rig.entries[-1], path, message, admin, 'PUT')

    def call_once(self, number: int) -> None:
        """Send a call that may not repeat, once."""
        gevent.sleep(number * 0.1)
        served = self.rng.choice(self.rig.entries)
        body = f'once {number}'
        try:
            self.rig.call(served, REGISTERS, body)
        except BROKEN:
            # The entry itself was lost: its caller knows nothing.
            self.unknown.append(body)

    def check_versions(self) -> None:
        """Check that no process went back to a lower version."""
        for served in self.rig.entries:
            now = served.subject.parts.tree.version
            before = self.versions.get(id(served.subject), 0)
            self.assertGreaterEqual(now, before)
            self.versions[id(served.subject)] = now

    def check_at_most_once(self) -> None:
        """Check the service's own record of the calls."""
        bodies = [call['body'] for call in self.rig.plain.subject.calls]
        self.assertEqual(len(set(bodies)), len(bodies))
