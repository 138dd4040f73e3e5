"""Limits over a fleet of entries, played without a network.

Organisations send by Zipf's law to entries chosen at random; entries are
lost, come back and are cut off meanwhile.
"""

import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from cactusridge.clock import ManualClock
from cactusridge.organisations.errors import LimitUnsure
from cactusridge.organisations.home_limits import HomeLimits
from cactusridge.organisations.homes import LOOK_S, MS, Candidate, Homes
from cactusridge.organisations.limit_ask import Asker, LimitCopy
from cactusridge.organisations.limit_home import LimitHome
from cactusridge.organisations.limiter import FixedShares, Limiter
from cactusridge.organisations.organisation import RateLimit
from cactusridge.organisations.token_bucket import TokenBucket

WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20
# The limit by what an organisation usually sends.
LIMIT_SHARE = 1.6
ORGANISATIONS = 60
READ_S = 1.0
LEASE_S = 3.2
RENEWED_S = 2.5
UNNOTICED_S = 3.0
TOLD_S = 0.1
STEP_S = 0.005
BEGIN_S = 20.0


class Loss(NamedTuple):
    """Entries that are away for a while: lost, or cut off."""

    at: float
    for_s: float
    share: float
    cut: bool = False


class Played(NamedTuple):
    """What came of a play.

    ``over`` is by how many requests the worst window was over the bound,
    0 or less if none was; ``owed`` requests were within their limits, at
    entries that were not cut off, of
    which ``refused`` were not let pass; ``beyond`` were over and passed.
    """

    over: float
    owed: int
    refused: int
    beyond: int
    messages: int


class Entry:
    """An entry, its own view of the list and its limiter."""

    def __init__(self, fleet: 'Fleet', number: int) -> None:
        """Start at the beginning of the play."""
        self.fleet = fleet
        self.name = f'10.0.{number // 250}.{number % 250}:1'
        self.alive = True
        self.cut = False
        self.since = float(0)
        self.renewed = float(0)
        self.seen: dict[str, tuple[float, float, float]] = {}
        self.read_at = fleet.rng.uniform(0, READ_S)
        self.start()

    def start(self) -> None:
        """Begin with nothing in memory."""
        clock = self.fleet.clock
        self.seen = {}
        self.homes = Homes(
            self.name,
            self.listed,
            lambda: clock.monotonic() * MS,
            self.in_touch,
            clock,
        )
        self.home = LimitHome(self.homes, clock)
        self.home.on_counted(self.tell_left)
        self.look_at = clock.now
        self.limiter = self.fleet.make(self)

    def in_touch(self) -> bool:
        """Tell whether the row counts as renewed."""
        return self.fleet.clock.now - self.renewed < RENEWED_S

    def go_on(self, now: float) -> None:
        """Do what is due."""
        if self.alive and not self.cut and now >= self.read_at:
            self.step()
        if self.alive and now >= self.look_at:
            self.homes.look()
            self.look_at = now + LOOK_S

    def tell_left(self, copy: LimitCopy) -> None:
        """Tell who stands in for this entry what is left."""
        for name in self.homes.ranked(copy.name)[1:]:
            other = self.fleet.by_name[name]
            self.fleet.messages += 1
            if other.alive and not (other.cut or self.cut):
                other.home.copied(copy)

    def listed(self) -> list[Candidate]:
        """Return who lives, by this entry's readings."""
        now = self.fleet.clock.now
        return [
            Candidate(name, int(since * MS))
            for name, (since, _, changed) in self.seen.items()
            if now - changed < LEASE_S or name == self.name
        ]

    def step(self) -> None:
        """Renew the row and read those of the others."""
        now = self.fleet.clock.now
        if now - self.renewed > UNNOTICED_S:
            self.since = now
        self.renewed = now
        self.fleet.rows[self.name] = (self.since, now)
        for name, (since, renewed) in self.fleet.rows.items():
            known = self.seen.get(name)
            same = known is not None and known[1] == renewed
            changed = known[2] if same else now
            self.seen[name] = (since, renewed, changed)
        self.read_at = now + READ_S


class Direct(Asker):
    """Asks an entry of the same play."""

    def __init__(self, entry: Entry) -> None:
        """Ask for ``entry``."""
        self._entry = entry
        self._fleet = entry.fleet

    def ask(self, entry, asked):
        """Ask unless one of both is away."""
        self._fleet.messages += 2
        other = self._fleet.by_name[entry]
        if not other.alive or other.cut or self._entry.cut:
            return None
        return other.home.answer(asked)

    def give_back(self, entry, name):
        """Never needed here."""


class ToldCounts(Limiter):
    """Every entry has the whole limit, less what the others tell of."""

    def __init__(self, entry: Entry) -> None:
        """Tell the whole fleet."""
        self._entry = entry
        self._buckets: dict[str, TokenBucket] = {}

    def take(self, name, limit, version):
        """Take a token here; the others hear of it a moment later."""
        fleet = self._entry.fleet
        wait_s = self._bucket(name, limit).take(fleet.clock.now)
        if not wait_s:
            fleet.tell(self._entry, name, limit)
        return wait_s

    def heard(self, name, limit):
        """Take a token for a request at another entry."""
        self._bucket(name, limit).take(self._entry.fleet.clock.now)

    def give_back(self, name):
        """Never needed here."""

    def _bucket(self, name, limit):
        if name not in self._buckets:
            now = self._entry.fleet.clock.now
            self._buckets[name] = TokenBucket(limit, limit.burst, now)
        return self._buckets[name]


def by_homes(entry: Entry) -> Limiter:
    """Return the limiter that asks the homes."""
    return HomeLimits(
        entry.name,
        entry.homes,
        entry.home,
        Direct(entry),
        entry.fleet.clock,
    )


def by_shares(entry: Entry) -> Limiter:
    """Return the naive limiter."""
    return FixedShares(lambda: len(entry.fleet.entries), entry.fleet.clock)


class Fleet:
    """Entries before organisations that send."""

    def __init__(
        self,
        entries: int,
        make: Callable[[Entry], Limiter],
        seed: int,
    ) -> None:
        """Limit by what ``make`` returns for an entry."""
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.make = make
        self.rows: dict[str, tuple[float, float]] = {}
        self.messages = 0
        self._told: list[tuple[float, Entry, str, RateLimit]] = []
        self.entries = [Entry(self, number) for number in range(entries)]
        self.by_name = {each.name: each for each in self.entries}

    def tell(self, sender: Entry, name: str, limit: RateLimit) -> None:
        """Have all entries hear of a request a moment later."""
        self.messages += len(self.entries) - 1
        self._told.append((self.clock.now + TOLD_S, sender, name, limit))

    def move_to(self, now: float, losses: Sequence[Loss]) -> None:
        """Go on to ``now``."""
        while self.clock.now < now:
            self.clock.now = min(now, self.clock.now + STEP_S)
            self._lose(losses)
            for entry in self.entries:
                entry.go_on(self.clock.now)
            while self._told and self._told[0][0] <= self.clock.now:
                self._hear(*self._told.pop(0)[1:])

    def _lose(self, losses: Sequence[Loss]) -> None:
        """Let those be away whom a loss meets now."""
        lost: set[Entry] = set()
        cut: set[Entry] = set()
        for number, loss in enumerate(losses):
            if loss.at <= self.clock.now < loss.at + loss.for_s:
                met = cut if loss.cut else lost
                met.update(self._met(number, loss))
        for entry in self.entries:
            entry.cut = entry in cut
            comes_back = not entry.alive and entry not in lost
            entry.alive = entry not in lost
            if comes_back:
                entry.start()
                entry.step()

    def _met(self, number: int, loss: Loss) -> Iterator[Entry]:
        count = round(len(self.entries) * loss.share)
        first = number * 7 % len(self.entries)
        around = itertools.cycle(self.entries)
        return itertools.islice(around, first, first + count)

    def _hear(self, sender: Entry, name: str, limit: RateLimit) -> None:
        for entry in self.entries:
            if entry is not sender and entry.alive and not entry.cut:
                entry.limiter.heard(name, limit)


def requests(
    seed: int,
    length_s: float,
    total_per_s: float,
    hot: float,
) -> list[tuple[float, int]]:
    """Return when organisations send; the first ``hot`` times its usual."""
    rng = random.Random(seed)
    found = []
    for number, rate_per_s in enumerate(usual(total_per_s)):
        at = BEGIN_S
        while at < BEGIN_S + length_s:
            surge = BEGIN_S + 5 <= at < BEGIN_S + 12 and number in {0, 9}
            times = hot if surge else 1
            at += rng.expovariate(rate_per_s * times)
            found.append((at, number))
    return sorted(found)


def usual(total_per_s: float) -> list[float]:
    """Return what organisations send, the largest first."""
    weights = [1 / (rank + 1) for rank in range(ORGANISATIONS)]
    return [total_per_s * each / sum(weights) for each in weights]


def play(
    entries: int,
    make: Callable[[Entry], Limiter],
    seed: int,
    losses: Sequence[Loss] = (),
    hot: float = 7.5,
    length_s: float = 20.0,
) -> Played:
    """Play one day."""
    fleet = Fleet(entries, make, seed)
    total_per_s = 4.0 * max(10, entries)
    limits = [
        RateLimit(LIMIT_SHARE * each, max(1.0, LIMIT_SHARE * each))
        for each in usual(total_per_s)
    ]
    exact = [TokenBucket(each, each.burst, BEGIN_S) for each in limits]
    passed: defaultdict[int, list[float]] = defaultdict(list)
    tally: Counter[str] = Counter()
    for at, number in requests(seed, length_s, total_per_s, hot):
        fleet.move_to(at, losses)
        alive = [each for each in fleet.entries if each.alive]
        if not alive:
            continue
        within = not exact[number].take(at)
        entry = fleet.rng.choice(alive)
        let_in = _passes(entry, number, limits[number])
        if let_in:
            passed[number].append(at)
        tally['beyond'] += let_in and not within
        tally['owed'] += within and not entry.cut
        tally['refused'] += within and not (entry.cut or let_in)
    over = max(
        _worst_window(times) - _bound(limits[number])
        for number, times in passed.items()
    )
    return Played(
        over,
        tally['owed'],
        tally['refused'],
        tally['beyond'],
        fleet.messages,
    )


def _passes(entry: Entry, number: int, limit: RateLimit) -> bool:
    try:
        return not entry.limiter.take(f'o{number}', limit, 1)
    except LimitUnsure:
        return False


def _bound(limit: RateLimit) -> float:
    allowed = limit.rate_per_s * WINDOW_S + limit.burst
    return allowed * (1 + OVERAGE) + SLACK


def _worst_window(times: list[float]) -> int:
    worst = 0
    first = 0
    for last, at in enumerate(times):
        while times[first] < at - WINDOW_S:
            first += 1
        worst = max(worst, last - first + 1)
    return worst
