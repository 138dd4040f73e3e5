"""Open connections stop transferring data while new connections work."""

import gevent

from standins.local_fleet import DEFTER, YAZMAN
from standins.waiting import wait_for
from tests.rig_case import RigCase

TURN_S = 0.01
# For two seconds, several times the silence time-out of the rig's entries.
WATCHED_TURNS = 200


class TestSilence(RigCase):
    """Each kind of link becomes silent in one test."""

    def silence(self, address: object) -> None:
        """Silence every open connection to an address."""
        for link in self.rig.links(address):
            link.stall_connections()

    def test_entry_to_sidecar(self):
        """Requests succeed when the connections to all sidecars are silent."""
        for number in range(10):
            self.rig.chat(f'warm {number}')
        for served in self.rig.sidecars:
            self.silence(served.address)
        answers = [self.rig.chat(f'on {n}') for n in range(10)]
        self.assertEqual({200}, {answer.status for answer in answers})

    def test_sidecars_with_silent_connections_stay_known(self):
        """A probe on a new connection is answered before they count as gone."""
        fleet = self.rig.entries[0].subject.parts.fleet
        for served in self.rig.sidecars:
            self.silence(served.address)
        known = set()
        for _ in range(WATCHED_TURNS):
            gevent.sleep(TURN_S)
            known.add(len(fleet.replicas(YAZMAN)))
        self.assertEqual({2}, known)

    def test_entry_to_sidecar_in_the_middle_of_a_request(self):
        """A request in flight is retried when its connection becomes silent."""
        served = self.rig.sidecars
        self.rig.later(0.2, lambda: self.silence(served[0].address))
        self.rig.later(0.2, lambda: self.silence(served[1].address))
        answer = self.rig.chat('middle', max_tokens=120)
        self.assertEqual(200, answer.status)

    def test_sidecar_to_engine(self):
        """A request succeeds when the connections to all engines are silent."""
        for number in range(4):
            self.rig.chat(f'warm {number}')
        for engine in self.rig.engines:
            self.silence(engine.address)
        answer = self.rig.chat('again')
        self.assertEqual(200, answer.status)

    def test_to_the_store(self):
        """Settings are read on a new connection when the old one is silent."""
        for served in self.rig.entries:
            link = served.subject.parts.table.link
            link.address = self.rig.forward(self.rig.store.address)
        changed = self.rig.update(YAZMAN, batch_share=0.5)
        self.silence(self.rig.store.address)
        changed = self.rig.update(YAZMAN, batch_share=0.4)
        self.assertEqual(200, changed.status, changed)
        trees = [served.subject.parts.tree for served in self.rig.entries]
        version = changed.body['version']
        wait_for(
            'the new settings at every entry',
            lambda: min(tree.version for tree in trees) >= version,
        )

    def test_not_repeatable_says_so_truthfully(self):
        """A non-repeatable call succeeds if it ran and fails otherwise."""
        path = '/services/defter/registers/1'
        self.rig.call(self.rig.entries[0], path, 'warm')
        for served in self.rig.sidecars:
            self.silence(served.address)
        answer = self.rig.call(self.rig.entries[0], path, 'silent')
        calls = self.rig.plain.subject.calls
        ran = sum(call['body'] == '"silent"' for call in calls)
        self.assertEqual(int(answer.status == 200), ran)
        self.assertIn(DEFTER, self.rig.sidecars[0].subject.upstreams)
