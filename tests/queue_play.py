"""Simulates bursts on a fleet whose callers may wait, without a network.

Every entry has its own counts, cells, exchange, selection of replicas and
queue, as in a process. Time is simulated. The load has the pattern of the
deployments: 2.4 s at 1.91 times the mean rate, then 3.6 s at 0.391 times it.

``tests/queue_figures.py`` prints the figures of docs/design/admission-queue.md.
"""

import collections
import heapq
import itertools
import random
from typing import NamedTuple

from cactusridge.clock import ManualClock
from cactusridge.dispatch.queueing import NoQueueing
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.peers.exchange import (
    MIN_SEND_INTERVAL_S,
    REPEAT_INTERVAL_S,
    SEND_INTERVAL_PER_PEER_S,
)
from cactusridge.peers.load import WorkKind
from tests.burst_play import Fleet
from tests.cells_play import SLOTS, put_replicas, spread
from tests.queue_entry import QueueEntry
from tests.queue_variants import VARIANTS
from tests.waiting_calls import HOLD_S, ROUTE, TIMEOUT_S, call_of

FLEET = Fleet(entries=39, replicas=27, zones=4)
BURST_S, CALM_S = 2.4, 3.6
BURST, CALM = 1.91, 0.391
ORGANISATIONS = 30
LARGE = 'large'
LARGE_WEIGHT = 7.5
# Time left to a caller that returns, in seconds.
LEFT_S = (1.0, 3.3)


class Tally(NamedTuple):
    """Callers of one organisation by the answer that they got."""

    on_time: int
    late: int
    unanswered: int

    @property
    def asked(self) -> int:
        """The number of callers."""
        return sum(self)


class QueueOutcome(NamedTuple):
    """The callers of one play, by organisation.

    ``day`` is the load as a share of what the slots hold. ``started`` is the
    number of requests that were sent after a wait, and ``held_back`` those of
    them that met a replica without a free slot. ``given_up`` is the number of
    waits that ended without a start, ``overdue`` that of answers that ended
    after the deadline.
    """

    variant: str
    day: str
    seed: int
    tallies: dict[str, Tally]
    started: int
    held_back: int
    given_up: int
    overdue: int

    def share(self, kind: str, organisations=None) -> float:
        """Return the share of callers with an answer of a kind."""
        names = self.tallies if organisations is None else organisations
        found = [self.tallies[name] for name in names]
        asked = sum(each.asked for each in found)
        return sum(getattr(each, kind) for each in found) / asked

    @property
    def asked(self) -> int:
        """The number of callers."""
        return sum(each.asked for each in self.tallies.values())

    def small(self) -> list[str]:
        """Return the organisations other than the large one."""
        return [name for name in self.tallies if name != LARGE]

    def worst_tenth(self) -> list[str]:
        """Return the tenth of organisations with most unanswered callers."""
        order = sorted(
            self.tallies,
            key=lambda name: self.share('unanswered', [name]),
            reverse=True,
        )
        return order[: max(1, len(order) // 10)]


class QueuePlay:
    """A fleet that receives bursts of callers for some time."""

    def __init__(self, variant: str, load: float, seed: int, fleet=FLEET):
        """Create every entry; ``variant`` is a value of ``queueing``."""
        self.clock = ManualClock(1)
        self.rng = random.Random(seed)
        self._callers = random.Random(seed)
        self._load = load
        self._names = (variant, f'{load}', seed)
        self._per_s = load * fleet.replicas * SLOTS / HOLD_S
        self.fleet = FleetView()
        put_replicas(self.fleet, fleet.replicas, fleet.zones)
        self.places = spread(fleet.entries, fleet.zones)
        self.entries = {}
        for place in self.places:
            entry = self.make_entry(place, variant)
            self.entries[entry.address] = entry
        self._listed = list(self.entries.values())
        self._numbers = itertools.count()
        self._todo = []
        self._slots = collections.defaultdict(list)
        self._first_asked = {}
        self._kinds = collections.defaultdict(collections.Counter)
        self._counts = collections.Counter()

    def make_entry(self, place, variant):
        """Return a new entry."""
        naive = NoQueueing() if variant == 'none' else None
        return VARIANTS.get(variant, QueueEntry)(self, place, naive)

    def addresses(self):
        """Return the addresses of all entries."""
        return list(self.entries)

    def run(self, periods: int) -> QueueOutcome:
        """Simulate bursts and calms; return what the callers got."""
        for entry in self._listed:
            peers = len(entry.cells.local_names()) - 1
            pause_s = max(MIN_SEND_INTERVAL_S, peers * SEND_INTERVAL_PER_PEER_S)
            first_s = self.rng.uniform(0, pause_s)
            self.at(first_s, self._turn, entry, pause_s, REPEAT_INTERVAL_S)
        until_s = periods * (BURST_S + CALM_S)
        self._plan_arrivals(until_s)
        end_at = self.clock.now + until_s + 2 * TIMEOUT_S
        while self._todo and self.clock.now < end_at:
            at, _, action, args = heapq.heappop(self._todo)
            self.clock.now = max(self.clock.now, at)
            action(*args)
        tallies = {
            name: Tally(found['on_time'], found['late'], found['unanswered'])
            for name, found in sorted(self._kinds.items())
        }
        return QueueOutcome(
            *self._names,
            tallies,
            self._counts['started_late'],
            self._counts['held_back'],
            self._counts['given_up'],
            self._counts['overdue'],
        )

    def at(self, in_s, action, *args):
        """Call ``action`` in ``in_s`` seconds."""
        at = self.clock.now + in_s
        heapq.heappush(self._todo, (at, next(self._numbers), action, args))

    def start(self, entry, call, replica, waited) -> None:
        """Run a request at a replica, which starts them as they arrive."""
        running = entry.loads.count_request(
            replica.incarnation, WorkKind.online
        )
        running.__enter__()
        # The times at which the used slots of the replica become free.
        used = self._slots[replica.incarnation]
        now = self.clock.now
        starts = now if len(used) < SLOTS else heapq.heappop(used)
        starts = max(now, starts)
        self._counts['started_late'] += waited
        self._counts['held_back'] += waited and starts > now
        ends = starts + self.rng.uniform(0.5, 1.5) * HOLD_S
        heapq.heappush(used, ends)
        self.at(ends - now, running.__exit__, None, None, None)
        kind = self._kind(call, starts, ends)
        self._kinds[call.req.organisation][kind] += 1

    def refuse(self, call, refusal, waited) -> None:
        """Let a refused caller return once."""
        self._counts['given_up'] += waited
        first_at = self._first_asked[call.req.id]
        if first_at < call.arrived_at or waited:
            self._kinds[call.req.organisation]['unanswered'] += 1
            return
        self.at(refusal.retry_after_s, self._return, call)

    def _kind(self, call, starts, ends):
        """Return the kind of an answer that starts and ends then."""
        if ends > call.deadline_at:
            self._counts['overdue'] += 1
            return 'unanswered'
        aim_at = self._first_asked[call.req.id] + ROUTE.target_latency_s
        return 'on_time' if starts <= aim_at else 'late'

    def _return(self, call) -> None:
        now = self.clock.now
        left_s = self._callers.uniform(*LEFT_S)
        again = call._replace(arrived_at=now, deadline_at=now + left_s)
        self._arrive(again)

    def _arrive(self, call) -> None:
        self._callers.choice(self._listed).ask(call)

    def _arrive_first(self, organisation) -> None:
        now = self.clock.now
        call = call_of(organisation, now + TIMEOUT_S)
        call = call._replace(arrived_at=now)
        self._first_asked[call.req.id] = now
        self._arrive(call)

    def _plan_arrivals(self, until_s) -> None:
        names = [LARGE, *(f'o{n}' for n in range(1, ORGANISATIONS))]
        weights = [LARGE_WEIGHT, *(1 for _ in names[1:])]
        at_s = 0
        while at_s < until_s:
            bursting = at_s % (BURST_S + CALM_S) < BURST_S
            share = BURST if bursting else CALM
            at_s += self._callers.expovariate(self._per_s * share)
            organisation = self._callers.choices(names, weights)[0]
            self.at(REPEAT_INTERVAL_S + at_s, self._arrive_first, organisation)

    def _turn(self, entry, pause_s, to_repeat_s) -> None:
        to_repeat_s -= pause_s
        if to_repeat_s > 0:
            entry.exchange._send_changes()
        else:
            to_repeat_s = REPEAT_INTERVAL_S
            entry.exchange._send_all()
        self.at(pause_s, self._turn, entry, pause_s, to_repeat_s)
