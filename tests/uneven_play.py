"""Simulates bursts at replicas of different speeds, without a network.

The requests, their work and the slow phases of the replicas are the same with
each policy of capacity.
"""

import random
import statistics
from collections.abc import Sequence
from typing import Any, NamedTuple

from cactusridge.dispatch.admission import AdmitAll
from cactusridge.dispatch.capacity import CompletedRun, MeanCapacity
from cactusridge.dispatch.observed_capacity import ObservedCapacity
from cactusridge.dispatch.placement import Choice, LeastOnline
from cactusridge.dispatch.retry_after import AfterBurst
from cactusridge.errors import Overloaded
from cactusridge.peers.cell_rules import ByZone
from cactusridge.peers.load import WorkKind
from tests.burst_entry import AIM_S
from tests.burst_play import FIRST_TURNS, TURN_S, BurstPlay, Fleet
from tests.cells_play import SLOTS
from tests.uneven_replica import UnevenReplica

ENTRIES = 16
SPEEDS = (0.6, 1.0, 1.6)
EQUAL = (1.0,)
# Share of the slots that the mean load fills at the speed 1.
MEAN_SHARE = 0.5
# The load repeats BURST_S at BURST times the mean and CALM_S at CALM times.
BURST_S = 2.4
BURST = 1.91
CALM_S = 3.6
CALM = 0.391
CYCLE_S = BURST_S + CALM_S
# Requests that arrive in the first cycle are not counted.
WARM_UP_S = CYCLE_S
CYCLES = 5
ROUTE = 'r'
# Events per second of a stream's work.
EVENTS_PER_S = 40
TAIL_SHARE = 0.01
TAIL = 5


class Work(NamedTuple):
    """A kind of requests; times are in seconds.

    The length of a request varies between ``least`` and ``most`` times
    ``hold_s``. It has ``left_s`` to its deadline.
    """

    name: str
    replicas: int
    hold_s: float
    least: float
    most: float
    left_s: float
    streams: bool


STREAMS = Work('streams', 12, 0.75, 2 / 3, 4 / 3, 5, streams=True)
PLAIN = Work('plain', 6, 0.065, 0.7, 1.3, 2.5, streams=False)
WORKS = (STREAMS, PLAIN)


class Arrival(NamedTuple):
    """A request, its entry and its work in seconds at the speed 1."""

    at_s: float
    entry: int
    work_s: float


class UnevenOutcome(NamedTuple):
    """Results with one policy and seed; ``day`` is the kind of requests.

    The waits for a slot are in seconds, of requests that were admitted; a late
    one waited for longer than the target. ``late`` and ``refused`` are shares
    of all requests in percent; a refused caller was refused twice. ``again``
    is the share refused at least once, ``on_time`` the share that got a slot
    within the target since the first try.
    ``unusual`` is the share of the estimated speeds that are not 1.
    """

    variant: str
    day: str
    seed: int
    p95: float
    p99: float
    late: float
    refused: float
    again: float
    on_time: float
    unusual: float
    received: float


class OrderedLeastOnline(LeastOnline):
    """Draws between equal replicas alike in every process.

    The order of the replicas in a set depends on the process.
    """

    def choose(
        self, choices: Sequence[Choice], zone: str, rng: random.Random
    ) -> Choice:
        """Return the choice of ``LeastOnline`` among the sorted replicas."""
        ordered = sorted(choices, key=lambda choice: choice.replica.id)
        return super().choose(ordered, zone, rng)


class UnevenPlay(BurstPlay):
    """A fleet whose replicas differ, with one policy of capacity."""

    def __init__(
        self,
        work: Work,
        speeds: tuple[float, ...],
        seed: int,
        variant: str,
        cycles: int = CYCLES,
    ) -> None:
        """Create the fleet; ``variant`` is mean, own or shared."""
        fleet = Fleet(ENTRIES, work.replicas, 1)
        super().__init__(fleet, ByZone(), OrderedLeastOnline(), seed)
        self._work = work
        self._seed = seed
        self._for_s = cycles * CYCLE_S
        self._variant = variant
        self._waits: list[float] = []
        self._speeds: list[int] = []
        phases = speeds != EQUAL
        self._replicas = {
            f'i-{number}': UnevenReplica(
                speeds[number % len(speeds)],
                SLOTS,
                phases,
                random.Random(f'{seed} {number}'),
            )
            for number in range(work.replicas)
        }
        for entry in self.entries.values():
            capacity = MeanCapacity()
            if variant != 'mean':
                capacity = ObservedCapacity(self.fleet, self.clock)
            entry.use_capacity(capacity, variant == 'shared')
            rng = random.Random(f'{seed} {entry.address}')
            entry.use_policies(returns=AfterBurst(rng))

    def admit_all(self) -> None:
        """Refuse no request, however long its expected wait is."""
        for entry in self.entries.values():
            entry.use_policies(admission=AdmitAll())

    def run(self) -> UnevenOutcome:
        """Simulate the load; return the results."""
        begun_at = self.clock.now
        for entry in self.entries.values():
            self._at(self.rng.uniform(0, TURN_S), self._turn, entry, 0)
        entries = list(self.entries.values())
        for each in arrivals(self._work, self._seed, self._for_s):
            self._at(
                FIRST_TURNS * TURN_S + each.at_s,
                self._request,
                entries[each.entry],
                each,
                self._work.left_s,
            )
        self.run_until(begun_at + FIRST_TURNS * TURN_S + self._for_s)
        received = sum(entry.received for entry in entries) / len(entries)
        asked = self._counts['asked']
        cuts = statistics.quantiles(self._waits, n=100)
        return UnevenOutcome(
            self._variant,
            self._work.name,
            self._seed,
            cuts[94],
            cuts[98],
            100 * self._counts['late'] / asked,
            100 * self._counts['refused'] / asked,
            100 * self._counts['again'] / asked,
            100 * self._counts['on_time'] / asked,
            100 * statistics.mean(self._speeds),
            received / self._for_s,
        )

    def _turn(self, entry: Any, number: int) -> None:
        super()._turn(entry, number)
        unusual = entry.capacity.unusual_speeds()
        self._speeds.append(len(unusual) / self._work.replicas)

    def _request(self, entry: Any, arrival: Arrival, left_s: float) -> None:
        """Send a request; a refused caller tries once more."""
        first = left_s == self._work.left_s
        counted = arrival.at_s >= WARM_UP_S
        self._counts['asked'] += counted and first
        try:
            replica = entry.choose(left_s)
        except Overloaded as exc:
            delay_s = exc.retry_after_s
            self._counts['again'] += counted and first
            if first and delay_s < left_s:
                left_s -= delay_s
                self._at(delay_s, self._request, entry, arrival, left_s)
            else:
                self._counts['refused'] += counted
            return
        wait_s = self._send(entry, replica, arrival.work_s)
        if counted:
            self._waits.append(wait_s)
            self._counts['late'] += wait_s > AIM_S
            tried_s = self._work.left_s - left_s
            self._counts['on_time'] += tried_s + wait_s <= AIM_S

    def _send(self, entry: Any, replica: Any, work_s: float) -> float:
        """Return the wait for a slot, in seconds."""
        key = replica.incarnation
        queue = Choice(replica, entry.loads.total_at(key)).queue
        running = entry.loads.count_request(key, WorkKind.online)
        running.__enter__()
        now = self.clock.now
        served = self._replicas[replica.id].serve(now, work_s)
        done = CompletedRun(
            replica, ROUTE, queue, served.ends - now, served.ends - now
        )
        if self._work.streams:
            held_s = served.ends - served.starts
            events = max(1, round(work_s * EVENTS_PER_S))
            done = CompletedRun(replica, ROUTE, 0, held_s, held_s, events)
        self._at(served.ends - now, running.__exit__, None, None, None)
        self._at(served.ends - now, entry.capacity.record, done)
        return served.starts - now


def arrivals(work: Work, seed: int, for_s: float) -> list[Arrival]:
    """Return the requests of one simulation, in order."""
    rng = random.Random(f'{work.name} {seed}')
    mean_per_s = MEAN_SHARE * work.replicas * SLOTS / work.hold_s
    found = []
    at_s = float(0)
    while at_s < for_s:
        rate = CALM
        if at_s % CYCLE_S < BURST_S:
            rate = BURST
        at_s += rng.expovariate(mean_per_s * rate)
        work_s = work.hold_s * rng.uniform(work.least, work.most)
        if not work.streams and rng.random() < TAIL_SHARE:
            work_s *= TAIL
        found.append(Arrival(at_s, rng.randrange(ENTRIES), work_s))
    return found
