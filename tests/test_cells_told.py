"""Who is told what in a fleet of two cells."""

import collections
import itertools
import random
import unittest
from unittest import mock

import orjson
from nose2.tools import params

from cactusridge import events
from cactusridge.clock import SystemClock
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.http.client import Address, parse_address
from cactusridge.peers.batch_sharing import BatchSharing
from cactusridge.peers.cell_rules import EntryPlace
from cactusridge.peers.exchange import (
    ALL,
    ANNOUNCED,
    CHANGED,
    OFFER,
)
from cactusridge.peers.load import Load, WorkKind
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.offers import CellOffer
from cactusridge.peers.peer_socket import PeerSocket
from standins.ports import Ports
from tests.cells_play import (
    SERVICE,
    SLOTS,
    cells_of,
    put_replicas,
    spread,
    zone_of,
)
from tests.emitted import emitted
from tests.exchange_play import exchange_of

# Where a datagram from another cell seems to come from.
FAR = ('10.0.0.9', 1)


class TestCellsTold(unittest.TestCase):
    """Who is told what in a fleet of two cells."""

    def setUp(self):
        """Start the first entry of forty in two zones; keep what it tells."""
        self.ports = Ports()
        self.addCleanup(self.ports.close)
        self.entries = spread(40, 2)
        address = self.ports.give()
        self.me = EntryPlace(str(address), zone_of(0))
        self.entries = tuple(sorted((self.me, *self.entries[1:])))
        self.fleet = FleetView()
        put_replicas(self.fleet, 20, 2)
        cells = cells_of(self.entries, self.fleet, self.me.name, SystemClock())
        self.cells = cells
        self.sharing = BatchSharing(self.fleet, cells)
        self.loads = LoadTable(SystemClock())
        self.addresses = [parse_address(each.name) for each in self.entries]
        sock = PeerSocket(address)
        self.exchange = exchange_of(
            sock,
            self.loads,
            self.addresses,
            self.sharing,
        )
        self.told: list[tuple[str, dict]] = []
        sock.send_to = self.keep

    def keep(self, target, raw):
        """Keep what would be sent to a peer."""
        name = str(Address(*target))
        self.told.append((name, orjson.loads(raw)))

    def offers_told(self):
        """Return what has been offered, and to whom."""
        return [
            (name, CellOffer(*said[OFFER]))
            for name, said in self.told
            if OFFER in said
        ]

    def life_in(self, near):
        """Return a replica of this entry's cell, or of the other one."""
        found = self.cells.of_service(SERVICE)
        return min(life for life in found.cells if (life in found.near) == near)

    @params(
        *itertools.product((True, False), WorkKind),
    )
    def test_rise(self, near, kind):
        """The entries of the replica's cell are told at once, no others."""
        life = self.life_in(near)
        with self.loads.running(life, kind):
            names = [name for name, _ in self.told]
        wanted = self.cells.entries_of_replica(life) | self.sharing.of(life)
        self.assertEqual(sorted(wanted - {self.me.name}), sorted(names))
        self.assertEqual(near, self.me.name in wanted)

    def test_repeat(self):
        """All in a replica's cell hear the counts there, nobody else."""
        near, far = self.life_in(near=True), self.life_in(near=False)
        with (
            self.loads.running(near, WorkKind.online),
            self.loads.running(far, WorkKind.online),
        ):
            self.told.clear()
            self.exchange._send_all()
        counts = {name: said[ALL] for name, said in self.told if ALL in said}
        own = self.cells.local_entries() - {self.me.name}
        self.assertLessEqual(own, set(counts))
        for name in {each.name for each in self.entries} - {self.me.name}:
            wanted = {
                life
                for life in (near, far)
                if name
                in self.cells.entries_of_replica(life) | self.sharing.of(life)
            }
            self.assertEqual(wanted, set(counts.get(name, ())))

    def test_end_told_with_a_repeat(self):
        """What has ended since the last turn is told with all counts."""
        far = self.life_in(near=False)
        audience = self.cells.entries_of_replica(far) | self.sharing.of(far)
        with self.loads.running(far, WorkKind.online):
            self.told.clear()
        self.exchange._send_all()
        ends = {name for name, said in self.told if far in said.get(ALL, ())}
        self.assertEqual(audience - {self.me.name}, ends)

    def test_offers(self):
        """Free slots are offered to the entries of the other cell.

        Nobody else of the cell has been heard: all hear it from here. An
        entry keeps what it has there.
        """
        life = self.life_in(near=True)
        other = self.cells.remote_entries()[0]
        self.loads.set_peer_loads(other, {life: Load(3)})
        self.exchange._audience._rng = random.Random(1)
        for _ in range(20):
            self.exchange._send_all()
        offers = collections.defaultdict(list)
        for name, offer in self.offers_told():
            self.assertEqual(self.cells.own, offer.cell)
            offers[name].append(offer.slots)
        self.assertEqual(set(self.cells.remote_entries()), set(offers))
        found = [slots[life] for slots in offers[other] if life in slots]
        self.assertEqual({4}, set(found))

    def test_nothing_offered_when_full(self):
        """Replicas whose slots online requests hold are not offered."""
        own = self.cells.of_service(SERVICE).near
        self.loads.set_peer_loads(
            self.cells.remote_entries()[0], dict.fromkeys(own, Load(SLOTS))
        )
        self.exchange._send_all()
        offers = [offer.slots for _, offer in self.offers_told()]
        self.assertEqual(len(self.cells.remote_entries()), len(offers))
        self.assertFalse(any(offers))

    def test_news_reaches_all(self):
        """News goes to every entry, and again with each repeat."""
        everybody = {each.name for each in self.entries} - {self.me.name}
        self.exchange.tell('job', 7)
        self.assertEqual(everybody, {name for name, _ in self.told})
        self.told.clear()
        self.exchange._send_all()
        again = {name for name, said in self.told if said.get(ANNOUNCED)}
        self.assertEqual(everybody, again)

    def test_listed_a_moment_ago(self):
        """An entry that has just come into the list is told at once.

        In the first moments after a start all others have.
        """
        life = self.life_in(near=True)
        self.cells.local_entries()
        newcomer = self.ports.give()
        self.addresses.append(newcomer)
        with self.loads.running(life, WorkKind.online):
            self.assertIn(str(newcomer), {name for name, _ in self.told})

    def test_told_once_a_repeat(self):
        """What is told in a repeat grows with cells, not with entries."""
        self.exchange._send_all()
        self.assertEqual(len(self.entries) - 1, len(self.told))

    def test_offer_taken(self):
        """An offer is for so many requests at a time, until it is repeated."""
        life = self.life_in(near=False)
        raw = orjson.dumps({OFFER: ['z1/0', {life: 1}, []]})
        self.exchange._handle_datagram(
            raw, parse_address(self.cells.remote_entries()[0])
        )
        self.assertEqual({life}, self.loads.offered())
        with self.loads.running(life, WorkKind.online):
            self.assertEqual(set(), self.loads.offered())
        self.assertEqual({life}, self.loads.offered())
        raw = orjson.dumps({OFFER: ['z1/0', {}, [life]]})
        self.exchange._handle_datagram(
            raw, parse_address(self.cells.remote_entries()[0])
        )
        self.assertEqual(set(), self.loads.offered())
        self.assertEqual({life}, self.loads.shared())
        self.assertFalse(self.loads.peers_heard())

    @params(
        ['z1/0', {'i-1': 'many'}, []],
        ['z1/0', [], []],
        ['z1/0', {}],
        ['z1/0', {}, 7],
        {'i-1': 1},
        3,
    )
    def test_no_offer(self, raw):
        """What cannot be read is logged and offers nothing."""
        said = orjson.dumps({OFFER: raw})
        with mock.patch.object(PeerSocket, 'receive', lambda _: (said, FAR)):
            with emitted() as found:
                self.exchange._receive()
        self.assertEqual([events.PEER_UNREADABLE], found)
        self.assertEqual(set(), self.loads.offered())

    def test_shared(self):
        """Who may run batch at a replica hears that it is told of it."""
        self.exchange._send_all()
        for name, offer in self.offers_told():
            for life in self.cells.of_service(SERVICE).near:
                shares = name in self.sharing.of(life)
                self.assertEqual(shares, life in offer.shared)

    def test_holder_is_told(self):
        """Who has requests at a replica is told, whatever its cell."""
        life = self.life_in(near=True)
        told = self.cells.entries_of_replica(life) | self.sharing.of(life)
        other = min(set(self.cells.remote_entries()) - told)
        self.loads.set_peer_loads(other, {life: Load(0, 1)})
        with self.loads.running(life, WorkKind.online):
            self.assertIn(other, {name for name, _ in self.told})

    def test_far_peer_that_is_done(self):
        """An entry of another cell is heard while it has requests here."""
        far = parse_address(self.cells.remote_entries()[0])
        near = parse_address(min(self.cells.local_entries() - {self.me.name}))
        life = self.life_in(near=True)
        for count in (1, 0):
            raw = orjson.dumps({CHANGED: {life: [count, 0, 0]}})
            for sender in (far, near):
                self.exchange._handle_datagram(raw, sender)
        self.assertEqual([str(near)], list(self.loads.current_peers()))
