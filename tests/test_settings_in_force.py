"""Accepted settings take effect at every process and never revert."""

import gevent
from nose2.tools import params

from standins.faults import Fault, FaultKind
from standins.local_fleet import YAZMAN
from standins.waiting import wait_for
from tests.rig_calls import ADMIN
from tests.rig_case import RigCase
from tests.served import Answer

JOBS = '/teams/demo/deployments/main/jobs'


class TestSettingsInForce(RigCase):
    """Settings change while processes and the store have faults."""

    def versions(self) -> list[int]:
        """Return the settings versions of all entries and sidecars."""
        entries = [
            served.subject.parts.tree.version for served in self.rig.entries
        ]
        sidecars = [
            served.subject.settings_version for served in self.rig.sidecars
        ]
        return entries + sidecars

    def wait_version(self, version: int) -> None:
        """Wait until every process has ``version`` or a newer one."""
        wait_for(f'version {version}', lambda: min(self.versions()) >= version)

    def put(self, path: str, raw: object, version: int, entry: int) -> Answer:
        """Set a path at one entry."""
        message = {'raw': raw, 'if_version': version}
        url = f'/admin/settings{path}'
        served = self.rig.entries[entry]
        return self.rig.call(served, url, message, ADMIN, 'PUT')

    def test_reaches_entries_and_sidecars(self):
        """A change reaches every process, and sidecars apply it."""
        changed = self.rig.update(YAZMAN, batch_share=0.5)
        self.wait_version(changed.body['version'])
        for served in self.rig.sidecars:
            gate = served.subject.upstreams[YAZMAN].gate
            self.assertEqual(0.5, gate.controller.share)

    def test_what_does_not_concern_a_sidecar_is_not_sent_to_it(self):
        """A sidecar receives changes of its own services only."""
        self.wait_version(5)
        before = [each.subject.settings_version for each in self.rig.sidecars]
        changed = self.put(f'{JOBS}/j', {'due_in_s': 1}, 0, 0)
        trees = [each.subject.parts.tree for each in self.rig.entries]
        wait_for(
            'the new version at every entry',
            lambda: (
                min(tree.version for tree in trees) >= changed.body['version']
            ),
        )
        gevent.sleep(0.5)
        after = [each.subject.settings_version for each in self.rig.sidecars]
        self.assertEqual(before, after)

    def test_two_operators_race(self):
        """One of two concurrent changes wins; the other gets status 409.

        The error message contains both values.
        """
        sent = [
            gevent.spawn(self.put, f'{JOBS}/j', {'due_in_s': n + 1}, 0, n)
            for n in (0, 1)
        ]
        gevent.joinall(sent, raise_error=True)
        statuses = sorted(each.value.status for each in sent)
        self.assertEqual([200, 409], statuses)
        lost = next(each.value for each in sent if each.value.status == 409)
        self.assertEqual('settings_conflict', lost.body['error']['code'])
        self.assertIn("'due_in_s': 1", lost.body['error']['message'])
        self.assertIn("'due_in_s': 2", lost.body['error']['message'])

    def test_many_paths_at_once(self):
        """Concurrent changes of different paths all succeed."""
        sent = [
            gevent.spawn(self.put, f'{JOBS}/j{n}', {'due_in_s': 1}, 0, n % 2)
            for n in range(10)
        ]
        gevent.joinall(sent, raise_error=True)
        self.assertEqual({200}, {each.value.status for each in sent})
        found = {each.value.body['version'] for each in sent}
        self.assertEqual(10, len(found))

    @params(1, 3)
    def test_lost_answer(self, count):
        """A write whose response was lost is neither refused nor repeated."""
        before = self.rig.platform.table.rows['settings/head'][0]['version']
        lost = Fault(FaultKind.lose_answer, 'settings/head', count)
        self.rig.platform.faults.add(lost)
        answer = self.rig.update(YAZMAN, batch_share=0.6)
        self.assertEqual(200, answer.status, answer)
        self.assertEqual(before + 1, answer.body['version'])
        self.wait_version(before + 1)
        self.assertEqual(before + 1, max(self.versions()))

    def test_lost_answer_then_changed_by_another(self):
        """A write succeeds whose response was lost before another write."""
        lost = Fault(FaultKind.lose_answer, 'settings/head', 1)
        self.rig.platform.faults.add(lost)
        first = gevent.spawn(self.put, f'{JOBS}/j', {'due_in_s': 1}, 0, 0)
        wait_for('a lost response', lambda: self.rig.platform.faults.hits)
        head = self.rig.platform.table.rows['settings/head'][0]['version']
        second = self.put(f'{JOBS}/j', {'due_in_s': 2}, head, 1)
        first.join()
        self.assertEqual([200, 200], [first.value.status, second.status])

    def test_started_without_the_store(self):
        """An entry that starts in an outage gets its settings from a peer."""
        self.rig.update(YAZMAN, batch_share=0.4)
        self.wait_version(7)
        down = Fault(FaultKind.down, '', 1_000_000)
        self.rig.platform.faults.add(down)
        peer = str(self.rig.entries[0].address)
        served = self.rig.add_entry(seed_peers=(peer,))
        self.assertEqual(7, served.subject.parts.tree.version)

    def test_sidecar_started_without_the_store(self):
        """A sidecar that restarts in an outage gets settings from entries."""
        self.rig.platform.faults.add(Fault(FaultKind.down, '', 1_000_000))
        self.rig.restart_sidecar(0)
        # Versions 4 and 5 are the changes that create the services of the
        # demo; the sixth does not concern sidecars.
        self.wait_version(5)
        self.assertEqual(200, self.rig.chat('served on').status)

    def test_entry_cut_off_from_the_store_follows_its_peer(self):
        """An entry that cannot reach the store gets settings from its peer."""
        partitioned = self.rig.entries[1].subject
        partitioned.parts.table.link.breaker = AlwaysOpen()
        changed = self.rig.update(YAZMAN, batch_share=0.3)
        self.wait_version(changed.body['version'])

    def test_stale_read_does_not_take_back(self):
        """An old snapshot or an old head leaves the settings unchanged."""
        changed = self.rig.update(YAZMAN, batch_share=0.2)
        self.wait_version(changed.body['version'])
        tree = self.rig.entries[0].subject.parts.tree
        old = tree.snapshot()._replace(version=2, nodes=[])
        self.assertFalse(tree.load(old))
        rows = self.rig.platform.table.rows
        rows['settings/head'] = ({'version': 2}, rows['settings/head'][1])
        self.rig.entries[0].subject.follower.step()
        self.assertEqual(changed.body['version'], tree.version)


class AlwaysOpen:
    """A circuit breaker that never permits a call."""

    open = True

    def wait_s(self) -> float:
        """Return a pause longer than the test."""
        return 60

    def record_success(self) -> None:
        """Stay open."""

    def record_failure(self) -> None:
        """Stay open."""
