"""Tests which messages each entry receives in a fleet of two cells."""

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
from cactusridge.peers.exchange import ALL, ANNOUNCED, CHANGED, OFFER
from cactusridge.peers.load import Load, WorkKind
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.offers import CellOffer
from cactusridge.peers.peer_socket import PeerSocket
from tests.cells_play import (
    SERVICE,
    SLOTS,
    cells_of,
    put_replicas,
    spread,
)
from tests.emitted import emitted
from tests.exchange_play import exchange_of

# Sender address of a datagram from another cell.
REMOTE = ('10.0.0.9', 1)
# The tested entry, by its number in the sorted list. It shares no replica of
# the other cell that the tests use.
OWN_NUMBER = 1


class TestCellsTold(unittest.TestCase):
    """Messages of an entry in a fleet of two cells."""

    def setUp(self):
        """Create the first of 40 entries in two zones; record messages."""
        # The names are fixed, because they decide which entries share a
        # replica. Nothing is bound to the addresses.
        self.entries = spread(40, 2)
        self.me = self.entries[OWN_NUMBER]
        address = parse_address(self.me.name)
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
        self.sent: list[tuple[str, dict]] = []
        sock.send_to = self.record

    def record(self, target, raw):
        """Record a message instead of sending it to a peer."""
        name = str(Address(*target))
        self.sent.append((name, orjson.loads(raw)))

    def sent_offers(self):
        """Return the recorded offers with the names of their recipients."""
        return [
            (name, CellOffer(*body[OFFER]))
            for name, body in self.sent
            if OFFER in body
        ]

    def incarnation_in(self, local):
        """Return a replica of the local cell, or of the remote one."""
        found = self.cells.of_service(SERVICE)
        return min(
            incarnation
            for incarnation in found.cells
            if (incarnation in found.local) == local
        )

    @params(
        *itertools.product((True, False), WorkKind),
    )
    def test_rise(self, local, kind):
        """An increase is sent at once to the replica's cell and sharers."""
        incarnation = self.incarnation_in(local)
        with self.loads.count_request(incarnation, kind):
            names = [name for name, _ in self.sent]
        wanted = self.cells.entries_of_replica(
            incarnation
        ) | self.sharing.sharers_of(incarnation)
        self.assertEqual(sorted(wanted - {self.me.name}), sorted(names))
        self.assertEqual(local, self.me.name in wanted)

    def test_repeat(self):
        """A repeat sends a replica's counts to its cell and sharers only."""
        local, far = (
            self.incarnation_in(local=True),
            self.incarnation_in(local=False),
        )
        with (
            self.loads.count_request(local, WorkKind.online),
            self.loads.count_request(far, WorkKind.online),
        ):
            self.sent.clear()
            self.exchange._send_all()
        counts = {name: body[ALL] for name, body in self.sent if ALL in body}
        own = self.cells.local_names() - {self.me.name}
        self.assertLessEqual(own, set(counts))
        for name in {each.name for each in self.entries} - {self.me.name}:
            wanted = {
                incarnation
                for incarnation in (local, far)
                if name
                in self.cells.entries_of_replica(incarnation)
                | self.sharing.sharers_of(incarnation)
            }
            self.assertEqual(wanted, set(counts.get(name, ())))

    def test_end_told_with_a_repeat(self):
        """A request that ended since the last message is part of the repeat."""
        far = self.incarnation_in(local=False)
        audience = self.cells.entries_of_replica(far) | self.sharing.sharers_of(
            far
        )
        with self.loads.count_request(far, WorkKind.online):
            self.sent.clear()
        self.exchange._send_all()
        ends = {name for name, body in self.sent if far in body.get(ALL, ())}
        self.assertEqual(audience - {self.me.name}, ends)

    def test_offers(self):
        """Free slots are offered to the entries of the other cell.

        No other entry of the local cell is live, so that this entry sends all
        offers. An offer includes the requests that the remote entry already
        has.
        """
        incarnation = self.incarnation_in(local=True)
        other = self.cells.remote_names()[0]
        self.loads.set_peer_loads(other, {incarnation: Load(3)})
        self.exchange._audience._rng = random.Random(1)
        for _ in range(20):
            self.exchange._send_all()
        offers = collections.defaultdict(list)
        for name, offer in self.sent_offers():
            self.assertEqual(self.cells.local_cell, offer.cell)
            offers[name].append(offer.slots)
        self.assertEqual(set(self.cells.remote_names()), set(offers))
        found = [
            slots[incarnation]
            for slots in offers[other]
            if incarnation in slots
        ]
        self.assertEqual({4}, set(found))

    def test_nothing_offered_when_full(self):
        """Replicas full of online requests are not offered."""
        own = self.cells.of_service(SERVICE).local
        self.loads.set_peer_loads(
            self.cells.remote_names()[0], dict.fromkeys(own, Load(SLOTS))
        )
        self.exchange._send_all()
        offers = [offer.slots for _, offer in self.sent_offers()]
        self.assertEqual(len(self.cells.remote_names()), len(offers))
        self.assertFalse(any(offers))

    def test_news_reaches_all(self):
        """An announcement goes to every entry, and again with each repeat."""
        all_names = {each.name for each in self.entries} - {self.me.name}
        self.exchange.announce('job', 7)
        self.assertEqual(all_names, {name for name, _ in self.sent})
        self.sent.clear()
        self.exchange._send_all()
        again = {name for name, body in self.sent if body.get(ANNOUNCED)}
        self.assertEqual(all_names, again)

    def test_listed_a_moment_ago(self):
        """An entry that has just joined the list receives counts at once.

        Right after a start all other entries have just joined.
        """
        incarnation = self.incarnation_in(local=True)
        self.cells.local_names()
        newcomer = Address('10.0.9.9', 1)
        self.addresses.append(newcomer)
        with self.loads.count_request(incarnation, WorkKind.online):
            self.assertIn(str(newcomer), {name for name, _ in self.sent})

    def test_told_once_a_repeat(self):
        """A repeat sends one datagram to each entry."""
        self.exchange._send_all()
        self.assertEqual(len(self.entries) - 1, len(self.sent))

    def test_offer_taken(self):
        """An offer limits the requests in flight and holds until replaced."""
        incarnation = self.incarnation_in(local=False)
        raw = orjson.dumps({OFFER: ['z1/0', {incarnation: 1}, []]})
        self.exchange._handle(raw, parse_address(self.cells.remote_names()[0]))
        self.assertEqual({incarnation}, self.loads.offered_replicas())
        with self.loads.count_request(incarnation, WorkKind.online):
            self.assertEqual(set(), self.loads.offered_replicas())
        self.assertEqual({incarnation}, self.loads.offered_replicas())
        raw = orjson.dumps({OFFER: ['z1/0', {}, [incarnation]]})
        self.exchange._handle(raw, parse_address(self.cells.remote_names()[0]))
        self.assertEqual(set(), self.loads.offered_replicas())
        self.assertEqual({incarnation}, self.loads.replicas_with_counts())
        self.assertFalse(self.loads.has_current_peers())

    @params(
        ['z1/0', {'i-1': 'many'}, []],
        ['z1/0', [], []],
        ['z1/0', {}],
        ['z1/0', {}, 7],
        {'i-1': 1},
        3,
    )
    def test_no_offer(self, raw):
        """An unreadable offer is logged and offers nothing."""
        body = orjson.dumps({OFFER: raw})
        with mock.patch.object(PeerSocket, 'receive', lambda _: (body, REMOTE)):
            with emitted() as found:
                self.exchange._receive()
        self.assertEqual([events.PEER_UNREADABLE], found)
        self.assertEqual(set(), self.loads.offered_replicas())

    def test_shared(self):
        """An entry's offer lists the replicas where it may run batch."""
        self.exchange._send_all()
        for name, offer in self.sent_offers():
            for incarnation in self.cells.of_service(SERVICE).local:
                shares = name in self.sharing.sharers_of(incarnation)
                self.assertEqual(shares, incarnation in offer.shared)

    def test_holder_is_told(self):
        """A peer with requests at a replica receives its counts in any cell."""
        incarnation = self.incarnation_in(local=True)
        audience = self.cells.entries_of_replica(
            incarnation
        ) | self.sharing.sharers_of(incarnation)
        other = min(set(self.cells.remote_names()) - audience)
        self.loads.set_peer_loads(other, {incarnation: Load(0, 1)})
        with self.loads.count_request(incarnation, WorkKind.online):
            self.assertIn(other, {name for name, _ in self.sent})

    def test_far_peer_that_is_done(self):
        """A remote peer is kept only while it has requests here."""
        far = parse_address(self.cells.remote_names()[0])
        local = parse_address(min(self.cells.local_names() - {self.me.name}))
        incarnation = self.incarnation_in(local=True)
        for count in (1, 0):
            raw = orjson.dumps({CHANGED: {incarnation: [count, 0, 0]}})
            for sender in (far, local):
                self.exchange._handle(raw, sender)
        self.assertEqual([str(local)], list(self.loads.current_peers()))
