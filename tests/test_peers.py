"""What entries tell each other, over datagrams on loopback."""

import unittest

import orjson

from cactusridge.clock import SystemClock
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.peers.batch_sharing import BatchSharing
from cactusridge.peers.exchange import (
    ALL,
    STATUS,
)
from cactusridge.peers.load import Load, WorkKind
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.peer_socket import PeerSocket
from cactusridge.peers.word import Word
from standins.ports import Ports
from standins.waiting import wait_for
from tests.cells_play import (
    cells_of,
    places,
    put_replicas,
)
from tests.exchange_play import exchange_of

# Several repeats of all counts, in seconds.
HEARD_S = 5
BATCH = WorkKind.batch


class Peer:
    """An entry's counts and its exchange."""

    def __init__(self, address, addresses):
        """Speak at ``address`` to all in ``addresses``."""
        self.address = address
        self.loads = LoadTable(SystemClock())
        fleet = FleetView()
        put_replicas(fleet, 1)
        names = {str(each) for each in (address, *addresses)}
        cells = cells_of(places(*names), fleet, str(address), SystemClock())
        self.heard: list[str] = []
        self.sock = PeerSocket(address)
        self.exchange = exchange_of(
            self.sock,
            self.loads,
            addresses,
            BatchSharing(fleet, cells),
        )
        self.exchange.on_news(lambda subject, _: self.heard.append(subject))
        self.words: list[Word] = []
        self.exchange.on_word(lambda _, word: self.words.append(word))
        self.exchange.start()


class TestPeerExchange(unittest.TestCase):
    """Counts and news between two entries."""

    def setUp(self):
        """Start two of them."""
        self.ports = Ports()
        self.addCleanup(self.ports.close)
        addresses = self.addresses()
        self.one = Peer(addresses[0], addresses)
        self.two = Peer(addresses[1], addresses)

    def addresses(self):
        """Return two addresses that nobody else gets."""
        return [self.ports.give() for _ in range(2)]

    def test_counts_come_and_go(self):
        """A request is counted at the peer while it lasts."""
        with self.one.loads.running('x', BATCH):
            wait_for('it counts', lambda: self.two.loads.at('x') == Load(0, 1))
        wait_for('it is over', lambda: self.two.loads.at('x') == Load(0, 0))

    def test_news(self):
        """News reaches the peer."""
        self.one.exchange.tell('job', 7)
        wait_for('the news', lambda: 'job' in self.two.heard)

    def test_word(self):
        """A peer tells its configuration and for how long it has the store."""
        wait_for('a word', lambda: Word(3, True, 7) in self.two.words)

    def test_word_of_an_older_entry(self):
        """Without the time it vouches for nothing; the rest counts."""
        raw = orjson.dumps({ALL: {}, STATUS: [4, True]})
        self.one.sock.send_to(self.two.address, raw)
        wait_for('the word', lambda: Word(4, True, 0) in self.two.words)

    def test_unlisted_peer_is_answered(self):
        """An entry that is heard is told the counts, listed or not."""
        addresses = self.addresses()
        listed_nowhere = Peer(addresses[0], addresses)
        knows_nobody = Peer(addresses[1], [])
        with knows_nobody.loads.running('x', BATCH):
            wait_for(
                'it counts',
                lambda: listed_nowhere.loads.at('x') == Load(0, 1),
                HEARD_S,
            )

    def test_at_once(self):
        """One request more is told without waiting for a turn."""
        for kind in WorkKind:
            told = []
            self.one.sock.send_to = lambda peer, _: told.append(peer)
            with self.one.loads.running('i-0', kind):
                self.assertEqual([self.two.address], told)
