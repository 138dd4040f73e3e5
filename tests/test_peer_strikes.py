"""Tests the exchange of strikes between entries by loopback datagrams."""

import unittest

import orjson
from nose2.tools import params

from cactusridge.clock import SystemClock
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.peers.batch_sharing import BatchSharing
from cactusridge.peers.loads import LoadTable
from cactusridge.peers.peer_socket import PeerSocket
from cactusridge.peers.peer_strikes import STRIKES, PeerStrikes
from cactusridge.quarantine.crash_evidence import CrashEvidence
from cactusridge.quarantine.rules import ByCrashes
from cactusridge.quarantine.strike import Stage
from standins.ports import Ports
from standins.waiting import wait_for
from tests.cells_play import cells_of, places
from tests.exchange_play import exchange_of


class Entry:
    """The crash evidence of an entry that exchanges it with its peers."""

    def __init__(self, address, addresses):
        """Create an entry at ``address`` whose peers are at ``addresses``."""
        clock = SystemClock()
        self.address = address
        self.suspects = CrashEvidence(ByCrashes(), clock)
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
        self.suspects.add_listener(PeerStrikes(exchange, self.suspects))
        exchange.start()

    def crash(self, incarnations: str) -> None:
        """Record crashes of replicas under a request."""
        for incarnation in incarnations:
            self.suspects.crashed('a', incarnation, Stage.started)


class TestPeerStrikes(unittest.TestCase):
    """Strikes between two entries."""

    def setUp(self):
        """Start both entries."""
        ports = Ports()
        self.addCleanup(ports.close)
        addresses = [ports.reserve() for _ in range(2)]
        self.one = Entry(addresses[0], addresses)
        self.two = Entry(addresses[1], addresses)

    def wait_held(self, held: bool) -> None:
        """Wait until both entries quarantine the request, or neither does."""
        for each in (self.one, self.two):
            wait_for(
                f'held: {held}',
                lambda each=each: each.suspects.is_quarantined('a') == held,
            )

    def test_crashes_at_different_entries(self):
        """Strikes of both entries together quarantine the request.

        Neither entry has recorded enough strikes for it alone.
        """
        self.one.crash('1')
        self.two.crash('2')
        self.one.crash('3')
        self.wait_held(held=True)

    def test_what_was_lost_comes_with_the_next(self):
        """Strikes in lost datagrams are repeated in the next datagram."""
        tell = self.one.sock.send_to
        self.one.sock.send_to = lambda *_: None
        self.one.crash('12')
        self.one.sock.send_to = tell
        self.one.crash('3')
        self.wait_held(held=True)

    def test_taken_back(self):
        """An entry withdraws strikes when the request completes there."""
        self.one.crash('123')
        self.wait_held(held=True)
        self.two.suspects.record_completion('a')
        self.wait_held(held=False)

    @params(
        [['a', '1', 'begun']],
        [['a', '1', 'nothing', 1]],
        [['a', '1', 'begun', 'x']],
        5,
    )
    def test_unreadable(self, raw):
        """An unreadable message is ignored, and the next one is applied."""
        self.one.sock.send_to(self.two.address, orjson.dumps({STRIKES: raw}))
        self.one.crash('123')
        self.wait_held(held=True)
