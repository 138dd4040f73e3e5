"""Simulates a burst of online requests on a whole fleet without a network.

Every entry has its own counts, cells, exchange and selection of replicas, as
in a process. Datagrams arrive without delay, and time is simulated.
"""

import collections
import heapq
import itertools
import random
from typing import Any, NamedTuple

from cactusridge.clock import ManualClock
from cactusridge.dispatch.placement import Placing
from cactusridge.errors import Overloaded
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.peers.cell_rules import CellRule
from cactusridge.peers.exchange import REPEAT_INTERVAL_S
from cactusridge.peers.load import WorkKind
from tests.burst_entry import AIM_S, HOLD_S, Entry
from tests.cells_play import put_replicas, spread

TURN_S = 0.1
FIRST_TURNS = 5
# Name prefix of the replicas that are added.
NEW = 'new'


class Fleet(NamedTuple):
    """Numbers of entries, replicas and availability zones."""

    entries: int
    replicas: int
    zones: int


class Newcomers(NamedTuple):
    """Replicas that are added ``after_s`` seconds, empty and slow at first.

    A request holds one of their slots ``slower`` times as long during the
    first ``cold_s`` seconds.
    """

    count: int
    after_s: float
    slower: float
    cold_s: float


class Outcome(NamedTuple):
    """Results of the requests, and the datagrams received per entry and second.

    ``abroad`` counts the requests sent to another availability zone, ``new``
    those sent to added replicas.
    """

    asked: int
    late: int
    refused: int
    abroad: int
    new: int
    received: float


class BurstPlay:
    """A fleet that receives a number of requests per second for some time."""

    def __init__(
        self,
        size: Fleet,
        rule: CellRule,
        placing: Placing,
        seed: int,
    ) -> None:
        """Create every entry, without any request."""
        self.clock = ManualClock(1)
        self.rng = random.Random(seed)
        self.fleet = FleetView()
        put_replicas(self.fleet, size.replicas, size.zones)
        self.places = spread(size.entries, size.zones)
        self.entries = {}
        for place in self.places:
            entry = Entry(self, place, rule, placing)
            self.entries[entry.address] = entry
        self._numbers = itertools.count()
        self._todo: list[Any] = []
        self._queues = collections.defaultdict(list)
        self._counts = collections.Counter()
        self._added = Newcomers(0, 0, 1, 0)
        self._warm_at = float(0)

    def addresses(self):
        """Return the addresses of all entries."""
        return list(self.entries)

    def grow(self, added: Newcomers, zones: int) -> None:
        """Add replicas while requests arrive."""
        self._added = added
        in_s = FIRST_TURNS * TURN_S + added.after_s
        self._warm_at = self.clock.now + in_s + added.cold_s
        self._at(
            in_s,
            put_replicas,
            self.fleet,
            added.count,
            zones,
            NEW,
        )

    def ask(self, per_s: float, for_s: float) -> Outcome:
        """Simulate ``per_s`` requests a second; return the results."""
        begun_at = self.clock.now
        for entry in self.entries.values():
            self._at(self.rng.uniform(0, TURN_S), self._turn, entry, 0)
        at_s = 0
        while at_s < for_s:
            at_s += self.rng.expovariate(per_s)
            entry = self.rng.choice(list(self.entries.values()))
            self._at(FIRST_TURNS * TURN_S + at_s, self._arrive, entry)
        self.run_until(begun_at + for_s + 1)
        received = sum(entry.received for entry in self.entries.values())
        return Outcome(
            self._counts['asked'],
            self._counts['late'],
            self._counts['refused'],
            self._counts['abroad'],
            self._counts['new'],
            received / len(self.entries) / for_s,
        )

    def run_until(self, end: float) -> None:
        """Do what is planned up to the first action at ``end`` or later."""
        while self._todo and self.clock.now < end:
            at, _, action, args = heapq.heappop(self._todo)
            self.clock.advance(max(0, at - self.clock.now))
            action(*args)

    def _at(self, in_s, action, *args):
        at = self.clock.now + in_s
        heapq.heappush(self._todo, (at, next(self._numbers), action, args))

    def _turn(self, entry, number):
        if number % round(REPEAT_INTERVAL_S / TURN_S):
            entry.exchange._send_changes()
        else:
            entry.exchange._send_all()
        self._at(TURN_S, self._turn, entry, number + 1)

    def _arrive(self, entry):
        self._counts['asked'] += 1
        try:
            replica = entry.choose()
        except Overloaded:
            self._counts['refused'] += 1
            return
        self._counts['abroad'] += replica.zone != entry.zone
        running = entry.loads.count_request(
            replica.incarnation, WorkKind.online
        )
        running.__enter__()
        # The times at which the used slots of the replica become free.
        free = self._queues[replica.incarnation]
        now = self.clock.now
        starts = now if len(free) < replica.slots else heapq.heappop(free)
        starts = max(now, starts)
        hold_s = self.rng.uniform(0.5, 1.5) * HOLD_S
        if replica.id.startswith(NEW):
            self._counts['new'] += 1
            hold_s *= self._added.slower if now < self._warm_at else 1
        ends = starts + hold_s
        heapq.heappush(free, ends)
        self._counts['late'] += starts - now > AIM_S
        self._at(ends - now, running.__exit__, None, None, None)
