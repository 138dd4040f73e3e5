"""Tests the exchange between entries by loopback datagrams."""

import unittest

import orjson

from cactusridge.clock import SystemClock
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.peers.batch_sharing import BatchSharing
from cactusridge.peers.entry_status import EntryStatus
from cactusridge.peers.exchange import (
    ALL,
    STATUS,
)
from cactusridge.peers.load import Load, WorkKind
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.peer_socket import PeerSocket
from standins.ports import Ports
from standins.waiting import wait_for
from tests.cells_play import (
    cells_of,
    places,
    put_replicas,
)
from tests.exchange_play import exchange_of

# The time of several repeats of all counts, in seconds.
REPEATS_S = 5
BATCH = WorkKind.batch


class Peer:
    """The counts of an entry and its exchange."""

    def __init__(self, address, addresses):
        """Create an entry at ``address`` whose peers are at ``addresses``."""
        self.address = address
        self.loads = LoadTable(SystemClock())
        fleet = FleetView()
        put_replicas(fleet, 1)
        names = {str(each) for each in (address, *addresses)}
        cells = cells_of(places(*names), fleet, str(address), SystemClock())
        self.announced: list[str] = []
        self.sock = PeerSocket(address)
        self.exchange = exchange_of(
            self.sock,
            self.loads,
            addresses,
            BatchSharing(fleet, cells),
        )
        self.exchange.on_announcement(
            lambda subject, _: self.announced.append(subject)
        )
        self.statuses: list[EntryStatus] = []
        self.exchange.on_status(lambda _, status: self.statuses.append(status))
        self.exchange.start()


class TestPeerExchange(unittest.TestCase):
    """Counts, announcements and statuses between two entries."""

    def setUp(self):
        """Start both entries."""
        self.ports = Ports()
        self.addCleanup(self.ports.close)
        addresses = self.addresses()
        self.one = Peer(addresses[0], addresses)
        self.two = Peer(addresses[1], addresses)

    def addresses(self):
        """Return two addresses that no other process uses."""
        return [self.ports.reserve() for _ in range(2)]

    def test_counts_come_and_go(self):
        """A request is counted at the peer while it is in flight."""
        with self.one.loads.count_request('x', BATCH):
            wait_for(
                'the request is counted',
                lambda: self.two.loads.total_at('x') == Load(0, 1),
            )
        wait_for(
            'the request has ended',
            lambda: self.two.loads.total_at('x') == Load(0, 0),
        )

    def test_news(self):
        """An announcement reaches the peer."""
        self.one.exchange.announce('job', 7)
        wait_for('the announcement', lambda: 'job' in self.two.announced)

    def test_word(self):
        """A status has the configuration version and ``store_uptime_s``."""
        wait_for(
            'a status', lambda: EntryStatus(3, True, 7) in self.two.statuses
        )

    def test_word_of_an_older_entry(self):
        """A status without an uptime has 0 s; its other fields apply."""
        raw = orjson.dumps({ALL: {}, STATUS: [4, True]})
        self.one.sock.send_to(self.two.address, raw)
        wait_for(
            'the status', lambda: EntryStatus(4, True, 0) in self.two.statuses
        )

    def test_unlisted_peer_is_answered(self):
        """An entry sends counts to all peers it receives from.

        The peer need not be in its membership list.
        """
        addresses = self.addresses()
        unlisted = Peer(addresses[0], addresses)
        without_list = Peer(addresses[1], [])
        with without_list.loads.count_request('x', BATCH):
            wait_for(
                'the request is counted',
                lambda: unlisted.loads.total_at('x') == Load(0, 1),
                REPEATS_S,
            )

    def test_at_once(self):
        """An increase of a count is sent without waiting an interval."""
        for kind in WorkKind:
            sent = []
            self.one.sock.send_to = lambda peer, _: sent.append(peer)
            with self.one.loads.count_request('i-0', kind):
                self.assertEqual([self.two.address], sent)
