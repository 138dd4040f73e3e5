"""Tests the end of an incarnation of a replica."""

from unittest import mock

from cactusridge import events
from cactusridge.dispatch.run import Runner
from cactusridge.fleet.incarnation_listener import IncarnationListener
from cactusridge.fleet.replica import incarnation_key
from cactusridge.http.client import Address
from cactusridge.peers.batch_sharing import BatchSharing
from cactusridge.peers.load import Load, WorkKind
from cactusridge.peers.loads import LoadTable
from cactusridge.platform.connections import Connections
from cactusridge.quarantine.crash_evidence import CrashEvidence
from cactusridge.quarantine.rules import ByCrashes
from cactusridge.routing.outliers import OutlierEjector
from tests.cells_play import cells_of, places
from tests.discovery_case import BORN, ENTRY, UNTOLD, DiscoveryCase

ID = 'i-0'
OLD = incarnation_key(ID, BORN)
NEW = incarnation_key(ID, BORN + 1)
SPOILED = 'no zone'


class Ends(IncarnationListener):
    """Records the incarnations that have ended."""

    def __init__(self):
        """Create a listener without records."""
        self.incarnations = []

    def incarnation_ended(self, incarnation):
        """Record the incarnation."""
        self.incarnations.append(incarnation)


class TestEnds(DiscoveryCase):
    """What ends an incarnation, and which listeners are notified."""

    def setUp(self):
        """Register a listener and list a replica."""
        super().setUp()
        self.ends = Ends()
        self.fleet.add_incarnation_listener(self.ends)
        self.put(ID, ENTRY)

    def test_newer_life(self):
        """A newer incarnation ends the one before, once."""
        for _ in range(2):
            self.put(ID, ENTRY, born=BORN + 1)
        self.assertEqual([OLD], self.ends.incarnations)
        self.assertIsNone(self.fleet.get(OLD))
        self.assertEqual(BORN + 1, self.fleet.get(NEW).started_at_ms)
        self.assertEqual(1, self.logged(events.REPLICA_RESTARTED))

    def test_after_a_removal(self):
        """A newer incarnation ends one that is no longer listed."""
        self.remove(ID)
        self.assertEqual([], self.ends.incarnations)
        self.put(ID, ENTRY, born=BORN + 1)
        self.assertEqual([OLD], self.ends.incarnations)

    def test_first_told_life(self):
        """A first start time for an id begins a new incarnation."""
        self.put('i-9', UNTOLD)
        self.put('i-9', ENTRY)
        self.assertEqual(['i-9'], self.ends.incarnations)

    def test_nothing_else(self):
        """Late and unreadable entries and a change of state end none."""
        self.put(ID, ENTRY, born=BORN - 1)
        self.put(ID, ENTRY, state='draining')
        self.spoil(ID, SPOILED)
        self.put(ID, ENTRY)
        self.assertEqual([], self.ends.incarnations)


class TestBeliefs(DiscoveryCase):
    """State about an ended incarnation does not apply to the next one."""

    def setUp(self):
        """List two replicas with health records, counts and connections."""
        super().setUp()
        self.loads = LoadTable(self.clock)
        self.health = OutlierEjector(self.clock)
        suspects = CrashEvidence(ByCrashes(), self.clock)
        runner = Runner(None, self.loads, self.health, suspects, self.clock)
        self.connections = Connections(self.clock)
        self.fleet.add_incarnation_listener(runner)
        self.fleet.add_incarnation_listener(self.connections)
        self.put(ID, ENTRY)
        self.put('i-1', ENTRY)

    def reborn(self):
        """List a newer incarnation."""
        self.put(ID, ENTRY, born=BORN + 1)

    def test_counts(self):
        """Requests at an ended incarnation use no slots of the next one."""
        self.loads.set_peer_loads('peer', {OLD: Load(5, 2, 1)})
        with self.loads.count_request(OLD, WorkKind.online):
            self.reborn()
            self.assertEqual(Load(), self.loads.total_at(NEW))
            self.assertEqual(Load(1), self.loads.total_at(OLD))
            # A peer that does not know the new incarnation yet.
            self.loads.set_peer_loads('peer', {OLD: Load(4)})
            self.assertEqual(Load(), self.loads.total_at(NEW))
        self.assertEqual({}, self.loads.all_own())

    def test_verdict(self):
        """The successor of an ejected incarnation may be chosen at once."""
        other = incarnation_key('i-1', BORN)
        self.health.failed(OLD, certain=True)
        self.assertEqual({other}, self.health.selectable([OLD, other]))
        self.reborn()
        self.assertEqual({OLD, other}, self.health.selectable([OLD, other]))
        self.assertEqual({NEW, other}, self.health.selectable([NEW, other]))
        # A request at the ended incarnation fails later.
        self.health.failed(OLD, certain=True)
        self.assertEqual({NEW, other}, self.health.selectable([NEW, other]))

    def test_connections(self):
        """Idle connections are closed and not used for the next incarnation."""
        kept, fresh, late = (mock.Mock() for _ in range(3))
        address = Address('127.0.0.1', 8000)
        self.connections.release(OLD, kept, 5)
        self.reborn()
        kept.close.assert_called_once_with()
        self.connections.release(OLD, late, 5)
        with mock.patch.object(self.connections, 'connect', lambda _: fresh):
            self.assertIs(fresh, self.connections.acquire(NEW, address))
        self.clock.advance(5)
        self.connections.close_expired()
        late.close.assert_called_once_with()

    def test_sharing(self):
        """The entries that run batch are selected by incarnation."""
        names = tuple(f'10.0.0.{number}:1' for number in range(40))
        cells = cells_of(places(*names), self.fleet)
        sharing = BatchSharing(self.fleet, cells)
        self.assertTrue(sharing.sharers_of(OLD))
        self.reborn()
        self.assertFalse(sharing.sharers_of(OLD))
        self.assertTrue(sharing.sharers_of(NEW))
