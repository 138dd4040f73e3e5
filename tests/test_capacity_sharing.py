"""Entries share what they observe of the speeds of replicas."""

import unittest
from types import SimpleNamespace
from unittest import mock

import orjson
from nose2.tools import params

from cactusridge import events
from cactusridge.clock import ManualClock
from cactusridge.dispatch.capacity import CompletedRun
from cactusridge.dispatch.capacity_sharing import SPEEDS, CapacitySharing
from cactusridge.dispatch.observed_capacity import ObservedCapacity
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.http.client import parse_address
from cactusridge.peers.batch_sharing import BatchSharing
from cactusridge.peers.exchange import ALL, STATUS
from cactusridge.peers.load import Load, WorkKind
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.speed_observations import MAX_REPLICAS, decode_speeds
from tests.cells_play import SERVICE, cells_of, put_replicas, spread
from tests.emitted import emitted
from tests.exchange_play import exchange_of

WORK_S = 0.065
REPLICAS = 40


class Entry:
    """One of the entries of a cell, whose messages are delivered by hand."""

    def __init__(self, places, number, shares=True):
        """Create the entry; without ``shares`` one of the version before."""
        self.clock = ManualClock(100)
        self.fleet = FleetView()
        put_replicas(self.fleet, REPLICAS)
        self.replicas = self.fleet.ready(SERVICE)
        self.address = parse_address(places[number].name)
        self.loads = LoadTable(self.clock)
        self.capacity = ObservedCapacity(self.fleet, self.clock)
        self.sent = []
        cells = cells_of(places, self.fleet, places[number].name, self.clock)
        self.exchange = exchange_of(
            self,
            self.loads,
            [parse_address(each.name) for each in places],
            BatchSharing(self.fleet, cells),
        )
        if shares:
            CapacitySharing(self.exchange, self.capacity)

    def send(self, targets, message):
        """Keep a message, in place of the socket."""
        if targets:
            self.sent.append(orjson.dumps(message))

    def repeat(self):
        """Send everything once; return the messages."""
        self.sent.clear()
        self.exchange._send_all()
        return list(self.sent)

    def serve(self, replicas, factor=1, count=10):
        """Complete requests of ``factor`` times the usual time."""
        for replica in replicas:
            for _ in range(count):
                self.capacity.record(
                    CompletedRun(replica, 'r', 0, WORK_S * factor, 0)
                )
        self.clock.advance(0.2)

    def speed(self, number=0):
        """Return the speed of a replica."""
        return self.capacity.speed(self.replicas[number].incarnation)


class TestCapacitySharing(unittest.TestCase):
    """Two entries of one cell."""

    def setUp(self):
        """Create both entries, without observations."""
        self.places = spread(2, 1)
        self.one = Entry(self.places, 0)
        self.two = Entry(self.places, 1)

    def pass_on(self):
        """Deliver a repeat of the first entry; return its messages."""
        messages = self.one.repeat()
        for raw in messages:
            self.two.exchange._handle(raw, self.one.address)
        self.two.clock.advance(0.2)
        return messages

    def observe_slow(self):
        """Let the first entry observe that the first replica is slow."""
        self.one.serve(self.one.replicas[1:5])
        self.one.serve(self.one.replicas[:1], 2.5, 20)

    def test_told(self):
        """An entry knows a slow replica before it sends a request there."""
        self.observe_slow()
        self.pass_on()
        self.assertLess(self.two.speed(), 0.8)
        self.assertEqual(1, self.two.speed(1))

    def test_only_new_observations(self):
        """A repeat without new observations has no field for them."""
        self.pass_on()
        self.observe_slow()
        self.assertIn(SPEEDS, orjson.loads(self.pass_on()[0]))
        before = self.two.speed()
        self.assertNotIn(SPEEDS, orjson.loads(self.pass_on()[0]))
        self.assertAlmostEqual(before, self.two.speed(), 1)

    def test_not_passed_on(self):
        """An entry sends only its own observations.

        Otherwise the entries would confirm each other for ever.
        """
        self.observe_slow()
        self.pass_on()
        for raw in self.two.repeat():
            self.assertNotIn(SPEEDS, orjson.loads(raw))

    def test_bounded(self):
        """A datagram grows by less than 1 kB; the rest follows later."""
        self.one.serve(self.one.replicas)
        told = set()
        for _ in range(3):
            raw = self.pass_on()[0]
            speeds = orjson.loads(raw)[SPEEDS]
            self.assertLessEqual(len(speeds), MAX_REPLICAS)
            self.assertLess(len(orjson.dumps(speeds)), 1000)
            told |= speeds.keys()
        # The observations from which the usual time follows are not compared.
        self.assertGreaterEqual(len(told), REPLICAS - 1)

    def test_version_before(self):
        """An entry of the version before ignores the field."""
        self.two = Entry(self.places, 1, shares=False)
        self.observe_slow()
        replica = self.one.replicas[0].incarnation
        with self.one.loads.count_request(replica, WorkKind.online):
            self.pass_on()
        self.assertEqual(Load(1), self.two.loads.total_at(replica))
        self.assertEqual(1, self.two.speed())

    def test_unknown_replica(self):
        """Observations of ended incarnations take no memory."""
        raw = orjson.dumps({SPEEDS: {'gone@1': [2.5, 9, 0]}})
        self.two.exchange._handle(raw, self.one.address)
        self.assertIsNone(self.two.capacity._speeds.get('gone@1'))

    @params((1e300, 10**400, -5), (2.5, 1e9, -1e300))
    def test_clamped(self, *told):
        """No message makes a replica slower than the slowest observation.

        After a minute without further messages it counts as usual.
        """
        key = self.two.replicas[0].incarnation
        self.two.capacity.add_observations(decode_speeds({key: list(told)}))
        self.two.clock.advance(0.2)
        self.assertGreaterEqual(self.two.speed(), 0.4)
        self.two.clock.advance(60)
        self.assertEqual(1, self.two.speed())

    @params(
        [],
        'x',
        {'i-0': 1},
        {'i-0': [1, 2]},
        {'i-0': [1, 2, None]},
        {'i-0': ['1', 2, 3]},
        {'i-0': [True, 2, 3]},
        {'i-0': [1, 2, 3, 4]},
        {str(number): [1, 1, 0] for number in range(MAX_REPLICAS + 1)},
    )
    def test_unreadable(self, raw):
        """An unreadable field is logged; the counts beside it apply."""
        with self.assertRaises(ValueError):
            decode_speeds(raw)
        counts = {ALL: {'i-0': [2, 0, 0]}, STATUS: [1, True], SPEEDS: raw}
        sock = SimpleNamespace(
            receive=lambda: (orjson.dumps(counts), self.one.address)
        )
        with mock.patch.object(self.two.exchange, '_sock', sock):
            with emitted() as found:
                self.two.exchange._receive()
        self.assertEqual([events.PEER_UNREADABLE], found)
        self.assertEqual(Load(2), self.two.loads.total_at('i-0'))
