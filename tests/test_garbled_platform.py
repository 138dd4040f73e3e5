"""The platform sends responses that cannot be parsed."""

from nose2.tools import params

from standins.faults import Fault, FaultKind
from standins.local_fleet import YAZMAN
from standins.waiting import wait_for
from tests.rig_case import RigCase, job_line

FOREVER = 1_000_000
ITEMS = 12
WRITES = 3


class TestGarbledPlatform(RigCase):
    """An unreadable response counts as a missing one and ends nothing."""

    def garble(self, match: str, count: int = FOREVER) -> None:
        """Garble the responses to the next ``count`` calls that match."""
        fault = Fault(FaultKind.garble, match, count)
        self.rig.platform.faults.add(fault)

    def wait_hit(self, count: int = 1) -> None:
        """Wait until ``count`` responses were garbled."""
        hits = self.rig.platform.faults.hits
        wait_for('garbled responses', lambda: len(hits) >= count)

    @params('hosts', 'scan', 'read', '')
    def test_everything_goes_on_afterwards(self, match):
        """Hosts, settings and jobs work again after unreadable responses."""
        self.garble(match)
        self.wait_hit(len(self.rig.entries) * 2)
        self.rig.platform.faults.clear()
        self.rig.add_sidecar()
        self.rig.wait_ready()
        changed = self.rig.update(YAZMAN, batch_share=0.5)
        self.assertEqual(200, changed.status, changed)
        self.rig.wait_ready()
        job = self.submit([f'g{n}' for n in range(ITEMS)])
        self.wait_state(job, 'completed')
        self.check_exactly_once(job, ITEMS)

    def test_one_unreadable_host(self):
        """An unreadable host in the list does not hide the other hosts."""
        self.rig.hosts['odd'] = {'address': 'nowhere', 'role': 'sidecar'}
        self.rig.publish()
        added = self.rig.add_sidecar()
        fleets = [served.subject.parts.fleet for served in self.rig.entries]
        address = self.rig.links(added.address)[0].address
        wait_for('a host', lambda: all(fleet.host(address) for fleet in fleets))

    def test_answers_of_writes(self):
        """A write whose response is garbled takes effect once."""
        uploaded = self.upload(job_line(0, 'x'))
        self.garble('transact', WRITES)
        created = self.create(uploaded.body['id'], key='once')
        again = self.create(uploaded.body['id'], key='once')
        self.rig.platform.faults.clear()
        self.assertEqual(200, created.status, created)
        self.assertEqual(created.body['id'], again.body['id'])
        self.wait_state(created.body['id'], 'completed')
        self.check_exactly_once(created.body['id'], 1)

    def test_answers_to_commits(self):
        """Chunks are committed once though the responses are garbled."""
        job = self.submit([f'c{n}' for n in range(ITEMS)], tokens=40)
        self.entry_holding(job)
        self.garble('transact', WRITES)
        self.wait_state(job, 'completed')
        self.check_exactly_once(job, ITEMS)
