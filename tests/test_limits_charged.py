"""Requests that backup owners admit count towards the limit.

Several entries that stood in for owners one after the other would otherwise
admit four requests each in addition to it.
"""

import unittest

from nose2.tools import params

from cactusridge.clock import ManualClock
from cactusridge.organisations.limit_copies import BACKUP_BURST, FORGET_S
from cactusridge.organisations.limit_count import BURST_TOLERANCE
from cactusridge.organisations.limit_counter import LimitCounter
from cactusridge.organisations.limit_messages import Candidate, LimitRequest
from cactusridge.organisations.limit_owners import LimitOwners
from cactusridge.organisations.organisation import RateLimit
from cactusridge.organisations.ranking import Ranking
from cactusridge.peers.limit_requests import LimitRequests
from tests.limits_chaos import NAMES
from tests.sent_wire import Wire
from tests.store_time import store_clock_at

OWNER, BACKUP = '127.0.0.1:9', '127.0.0.1:8'
MEMBERS = (Candidate(OWNER, 0), Candidate(BACKUP, 0))
# An organisation for which the owner is ranked first.
NAME = next(
    each for each in NAMES if Ranking(MEMBERS).of(each)[0] == MEMBERS[0]
)
# A rate of 0 shows tokens that are granted twice.
REQUEST = LimitRequest(NAME, RateLimit(0, 10), 1)
# What the owner has left by the copy that the backup owner gets.
LEFT = 9


class TestCharged(unittest.TestCase):
    """An owner and a backup owner, connected by messages."""

    def setUp(self):
        """Let the owner count one request."""
        self.clock = ManualClock(100)
        self.owners = {}
        self.listed = MEMBERS
        self.wires = {name: Wire() for name in (OWNER, BACKUP)}
        self.counters = {name: self.counter(name) for name in self.wires}
        self.admitted = 0
        self.count(OWNER)

    def counter(self, name):
        """Return the counter of an entry, connected to its wire."""
        owners = LimitOwners(
            name,
            lambda: self.listed,
            store_clock_at(self.clock),
            lambda: True,
            self.clock,
        )
        self.owners[name] = owners
        counter = LimitCounter(owners, self.clock)
        LimitRequests(self.wires[name], counter, owners)
        return counter

    def count(self, name, times=1, **fields):
        """Send requests to an entry for counting."""
        request = REQUEST._replace(**fields)
        for _ in range(times):
            response = self.counters[name].count(request)
            self.admitted += response.counted and not response.wait_s

    def send_copy(self):
        """Send the backup owner what the owner has left."""
        copy = [NAME, list(REQUEST.limit), 1, LEFT]
        self.wires[BACKUP].listeners['limit_left'](('127.0.0.1', 9), copy)

    @params((1, BURST_TOLERANCE), (FORGET_S + 1, BURST_TOLERANCE + 4))
    def test_owner(self, after_s, most):
        """The owner takes the tokens when it sends what it has left.

        After the length of a window they matter no longer. An owner starts
        with BURST_TOLERANCE tokens.
        """
        self.count(BACKUP, 10, as_backup=True)
        self.assertEqual(1 + BACKUP_BURST, self.admitted)
        self.clock.advance(after_s)
        self.send_copy()
        self.wires[BACKUP].pass_on(self.wires[OWNER])
        self.count(OWNER, 40)
        self.assertEqual(most, self.admitted)

    def test_used_up(self):
        """What a backup owner does not admit is unsure and not over the limit.

        A caller would be told to return after 50 times the usual wait.
        """
        request = REQUEST._replace(limit=RateLimit(1, 10), as_backup=True)
        counter = self.counters[BACKUP]
        counted = [counter.count(request).counted for _ in range(10)]
        self.assertEqual([True] * BACKUP_BURST + [False] * 6, counted)

    def test_itself(self):
        """A backup owner that becomes the owner takes its own."""
        self.send_copy()
        self.count(BACKUP, 10, as_backup=True)
        self.listed = MEMBERS[1:]
        self.owners[BACKUP].update()
        self.count(BACKUP, 40)
        self.assertEqual(1 + LEFT, self.admitted)
