"""What entries tell each other, over datagrams on loopback."""

import random
import unittest

import orjson
from nose2.tools import params

from cactusridge.clock import SystemClock
from cactusridge.dispatch.load import Load, WorkKind
from cactusridge.dispatch.loads import FRESH_S, LoadTable
from cactusridge.dispatch.peers import ALL, WORD, PeerExchange, Word
from cactusridge.dispatch.placement import FEW, Choice, consider
from cactusridge.dispatch.replica import Replica, ReplicaState
from cactusridge.http.client import Address
from standins.ports import Ports
from standins.waiting import wait_for

SLOTS = 8
# Several repeats of all counts, in seconds.
HEARD_S = 5
BATCH = WorkKind.batch


class Peer:
    """An entry's counts and its exchange."""

    def __init__(self, address, addresses):
        """Speak at ``address`` to all in ``addresses``."""
        self.address = address
        self.loads = LoadTable(SystemClock())
        self.heard: list[str] = []
        self.exchange = PeerExchange(
            address,
            self.loads,
            lambda: addresses,
            lambda: Word(3, True, 7),
            lambda replica_id: SLOTS,
            lambda replica_id: {str(each) for each in addresses},
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
        raw = orjson.dumps({ALL: {}, WORD: [4, True]})
        self.one.exchange._send_raw(raw)
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

    @params(WorkKind.claim, BATCH)
    def test_batch_in_a_large_fleet(self, kind):
        """Those that run batch at a replica are told at once of more."""
        self.one.loads.period_s = FRESH_S * 2
        told = []
        self.one.exchange._send_to = lambda peer, _: told.append(peer)
        with self.one.loads.running('x', kind):
            self.assertEqual([self.two.address], told)

    def test_full_replica_in_a_large_fleet(self):
        """Who has batch at a full replica is told at once, without turns."""
        with self.two.loads.running('x', BATCH):
            wait_for('it counts', lambda: self.one.loads.at('x').batch)
            self.one.loads.period_s = FRESH_S * 2
            told = []
            self.one.exchange._send_to = lambda peer, _: told.append(peer)
            running = [
                self.one.loads.running('x', WorkKind.online)
                for _ in range(SLOTS)
            ]
            for each in running[:-1]:
                each.__enter__()
            self.assertEqual([], told)
            running[-1].__enter__()
            self.assertEqual(1, len(told))


class TestConsider(unittest.TestCase):
    """Which replicas are compared."""

    @params((True, 20, 20), (False, 20, FEW), (False, 2, 2))
    def test_few_when_stale(self, fresh, count, wanted):
        """All by fresh counts, a few by stale ones."""
        choices = [
            Choice(
                Replica(
                    str(number),
                    's',
                    Address('127.0.0.1', 1),
                    'z',
                    SLOTS,
                    ReplicaState.ready,
                ),
                Load(),
            )
            for number in range(count)
        ]
        found = consider(choices, fresh, random.Random(1))
        self.assertEqual(wanted, len(found))
