"""What an entry reports about its replicas and its waiting requests."""

import contextlib
import unittest
from types import SimpleNamespace

from cactusridge import wire
from cactusridge.clock import ManualClock
from cactusridge.dispatch.capacity import MeanCapacity, ReplicaCapacity
from cactusridge.dispatch.policies import make_outliers
from cactusridge.dispatch.queueing import NoQueueing
from cactusridge.dispatch.waiting_summary import WaitingSummary
from cactusridge.errors import NotFound
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.peers.load import Load, WorkKind
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.offers import CellOffer
from cactusridge.platform.load_report import LoadReport
from cactusridge.startup.models import DirectPolicy
from tests.cells_play import SERVICE, cells_of, put_replicas, spread

PRESS = WaitingSummary(SERVICE, 'press', 1, 3, 0.81239)
OTHER = WaitingSummary('other', 'press', 0, 1, 0.1)


class FixedCapacity(MeanCapacity):
    """Has an estimate for one replica."""

    def of_service(self, service):
        """Return the estimate, which the service alone has."""
        if service != SERVICE:
            return []
        return [ReplicaCapacity('i-1', 0.75432, 0.6, 12, 1.5)]


class FixedWaiting(NoQueueing):
    """Has waiting requests of two services."""

    def summary(self):
        """Return the numbers of waiting requests."""
        return [PRESS, OTHER]


def request(service=''):
    """Return a request for one service, or for all."""
    return SimpleNamespace(query=lambda name: service)


class TestLoadReport(unittest.TestCase):
    """An operator sees by what an entry places and refuses requests."""

    def setUp(self):
        """Create the report of an entry of a small fleet."""
        self.clock = ManualClock(100)
        self.fleet = FleetView()
        self.loads = LoadTable(self.clock)
        self.health = make_outliers(DirectPolicy(), self.clock)
        put_replicas(self.fleet, 4)
        self.use(spread(2, 1))

    def use(self, entries):
        """Report as the first of ``entries``."""
        self.cells = cells_of(entries, self.fleet)
        self.report = LoadReport(
            self.fleet,
            self.cells,
            SimpleNamespace(
                loads=self.loads,
                health=self.health,
                capacity=FixedCapacity(),
            ),
            FixedWaiting(),
        )

    def read(self, service=SERVICE):
        """Return the reported services."""
        raw = b''.join(self.report.serve(request(service)).body)
        return wire.decode(raw)['services']

    def replica(self, replica_id):
        """Return what is reported about a replica."""
        rows = self.read()[0]['replicas']
        return next(row for row in rows if row['replica'] == replica_id)

    def test_counts(self):
        """The counts are the sum over all entries, with their age."""
        self.loads.set_peer_loads('peer', {'i-1': Load(online=4, batch=1)})
        self.clock.advance(0.25)
        with contextlib.ExitStack() as stack:
            for kind in (WorkKind.online, WorkKind.batch):
                stack.enter_context(self.loads.count_request('i-1', kind))
            found = self.replica('i-1')
        wanted = {
            'zone': 'z',
            'cell': 'local',
            'slots': 8,
            'online': 5,
            'batch': 2,
            'counted': 'all entries',
            'loads_age_s': 0.25,
            'ejected': False,
        }
        self.assertEqual(wanted, {name: found[name] for name in wanted})

    def test_ejected(self):
        """An ejected replica is shown as such."""
        self.health.failed('i-2', certain=True)
        rows = self.read()[0]['replicas']
        found = {row['replica'] for row in rows if row['ejected']}
        self.assertEqual({'i-2'}, found)

    def test_estimates(self):
        """A replica has its estimate; one without has empty fields."""
        wanted = {'slot_s': 0.7543, 'speed': 0.6, 'samples': 12, 'age_s': 1.5}
        for replica_id, expected in (
            ('i-1', wanted),
            ('i-0', dict.fromkeys(wanted)),
        ):
            found = self.replica(replica_id)
            self.assertEqual(expected, {name: found[name] for name in wanted})

    def test_waiting(self):
        """Waiting requests are shown with their service only."""
        found = self.read()[0]['waiting']
        wanted = {
            'organisation': 'press',
            'priority': 1,
            'count': 3,
            'oldest_s': 0.8124,
        }
        self.assertEqual([wanted], found)

    def test_services(self):
        """Without a service all are shown, also those without a replica."""
        found = {each['service']: each for each in self.read('')}
        self.assertEqual({SERVICE, 'other'}, found.keys())
        self.assertEqual([], found['other']['replicas'])
        with self.assertRaises(NotFound):
            self.read('none')

    def test_remote(self):
        """The counts of a remote replica are this entry's, unless offered.

        An operator would otherwise take a full replica for a free one.
        """
        put_replicas(self.fleet, 59, 6)
        self.use(spread(88, 6))
        local = self.cells.of_service(SERVICE).local
        remote = next(
            each.id
            for each in self.fleet.ready(SERVICE)
            if each.incarnation not in local
        )
        found = self.replica(remote)
        self.assertEqual(
            ('remote', 'this entry'), (found['cell'], found['counted'])
        )
        self.assertEqual(
            'all entries', self.replica(next(iter(local)))['counted']
        )
        self.offer(remote)
        self.assertEqual('all entries', self.replica(remote)['counted'])

    def offer(self, replica_id):
        """Let the cell of a remote replica share its counts."""
        self.loads.set_offer(CellOffer('c', {}, [replica_id]))
