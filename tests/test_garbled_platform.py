"""The platform answers with something that cannot be read."""

from nose2.tools import params

from standins.faults import Fault, FaultKind
from standins.local_fleet import YAZMAN
from standins.waiting import wait_for
from tests.rig_case import RigCase, job_line

FOREVER = 1_000_000
ITEMS = 12
WRITES = 3


class TestGarbledPlatform(RigCase):
    """Such an answer is no answer; nothing ends for good over it."""

    def garble(self, match: str, count: int = FOREVER) -> None:
        """Garble the answers to calls that match."""
        fault = Fault(FaultKind.garble, match, count)
        self.rig.platform.faults.add(fault)

    def wait_hit(self, count: int = 1) -> None:
        """Wait until answers were garbled."""
        hits = self.rig.platform.faults.hits
        wait_for('garbled answers', lambda: len(hits) >= count)

    @params('hosts', 'scan', 'read', '')
    def test_everything_goes_on_afterwards(self, match):
        """Hosts are found, settings in force and jobs run again."""
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
        """A host that cannot be read does not hide the others."""
        self.rig.hosts['odd'] = {'address': 'nowhere', 'role': 'sidecar'}
        self.rig.publish()
        added = self.rig.add_sidecar()
        fleets = [served.subject.parts.fleet for served in self.rig.entries]
        address = self.rig.links(added.address)[0].address
        wait_for('it', lambda: all(fleet.host(address) for fleet in fleets))

    def test_answers_of_writes(self):
        """A write whose answer is garbled took effect once."""
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
        """Chunks and leases are committed once all the same."""
        job = self.submit([f'c{n}' for n in range(ITEMS)], tokens=40)
        self.entry_holding(job)
        self.garble('transact', WRITES)
        self.wait_state(job, 'completed')
        self.check_exactly_once(job, ITEMS)
