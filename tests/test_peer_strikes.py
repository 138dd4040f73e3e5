"""Strikes between entries, over datagrams on loopback."""

import unittest

import orjson
from nose2.tools import params

from cactusridge.clock import SystemClock
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.peers.batch_sharing import BatchSharing
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.peer_socket import PeerSocket
from cactusridge.peers.peer_strikes import STRIKES, PeerStrikes
from cactusridge.quarantine.rules import ByCrashes
from cactusridge.quarantine.strike import Stage
from cactusridge.quarantine.suspects import Suspects
from standins.ports import Ports
from standins.waiting import wait_for
from tests.cells_play import cells_of, places
from tests.exchange_play import exchange_of


class Entry:
    """The suspects of an entry that tells its peers."""

    def __init__(self, address, addresses):
        """Speak at ``address`` to all in ``addresses``."""
        clock = SystemClock()
        self.address = address
        self.suspects = Suspects(ByCrashes(), clock)
        self.sock = PeerSocket(address)
        fleet = FleetView()
        names = {str(each) for each in addresses}
        cells = cells_of(places(*names), fleet, str(address), clock)
        exchange = exchange_of(
            self.sock,
            LoadTable(clock),
            addresses,
            BatchSharing(fleet, cells),
        )
        self.suspects.pass_on(PeerStrikes(exchange, self.suspects))
        exchange.start()

    def crash(self, lives: str) -> None:
        """Let replicas break off under a request."""
        for life in lives:
            self.suspects.crashed('a', life, Stage.begun)


class TestPeerStrikes(unittest.TestCase):
    """Two entries."""

    def setUp(self):
        """Start them."""
        ports = Ports()
        self.addCleanup(ports.close)
        addresses = [ports.give() for _ in range(2)]
        self.one = Entry(addresses[0], addresses)
        self.two = Entry(addresses[1], addresses)

    def wait_held(self, held: bool) -> None:
        """Wait until both hold the request back, or neither does."""
        for each in (self.one, self.two):
            wait_for(
                f'held: {held}',
                lambda each=each: each.suspects.is_held('a') == held,
            )

    def test_crashes_at_different_entries(self):
        """Each has seen too few to hold the request back."""
        self.one.crash('1')
        self.two.crash('2')
        self.one.crash('3')
        self.wait_held(held=True)

    def test_what_was_lost_comes_with_the_next(self):
        """Datagrams may be lost."""
        tell = self.one.sock.send_to
        self.one.sock.send_to = lambda *_: None
        self.one.crash('12')
        self.one.sock.send_to = tell
        self.one.crash('3')
        self.wait_held(held=True)

    def test_taken_back(self):
        """By the entry that has seen the replica live."""
        self.one.crash('123')
        self.wait_held(held=True)
        self.two.suspects.survived('a')
        self.wait_held(held=False)

    @params(
        [['a', '1', 'begun']],
        [['a', '1', 'nothing', 1]],
        [['a', '1', 'begun', 'x']],
        5,
    )
    def test_unreadable(self, raw):
        """It is passed over, and the next datagram is taken."""
        self.one.sock.send_to(self.two.address, orjson.dumps({STRIKES: raw}))
        self.one.crash('123')
        self.wait_held(held=True)
