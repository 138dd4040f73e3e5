"""A fleet of entries that keep limits, without a network.

Entries are lost, come back and are cut off while the clock goes on.
"""

import itertools
import random
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from cactusridge.clock import ManualClock
from cactusridge.organisations.homes import LOOK_S, MS_PER_S, Candidate, Homes
from cactusridge.organisations.limit_ask import LimitCopy
from cactusridge.organisations.limit_home import LimitHome
from cactusridge.organisations.limiter import Limiter
from cactusridge.organisations.organisation import RateLimit

READ_S = 1.0
LEASE_S = 3.2
RENEWED_S = 2.5
UNNOTICED_S = 3.0
TOLD_S = 0.1
STEP_S = 0.005


class Loss(NamedTuple):
    """Entries that are away for a while: ended, dark, or cut off.

    A ``dark`` host refuses no connection. Those that are cut off
    ``together`` reach each other, nobody else.
    """

    at: float
    for_s: float
    share: float
    cut: bool = False
    together: bool = False
    dark: bool = False


class Entry:
    """An entry, its own view of the list and its limiter."""

    def __init__(self, fleet: 'Fleet', number: int) -> None:
        """Start at the beginning of the play."""
        self.fleet = fleet
        self.name = f'10.0.{number // 250}.{number % 250}:1'
        self.alive = True
        self.dark = False
        # Those on one side reach each other, and those on none the store.
        self.side = ''
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
            lambda: clock.monotonic() * MS_PER_S,
            self.is_current,
            clock,
        )
        self.home = LimitHome(self.homes, clock)
        self.home.on_counted(self.tell_left)
        self.look_at = clock.now
        self.limiter = self.fleet.make(self)

    @property
    def cut(self) -> bool:
        """Whether the store cannot be reached."""
        return bool(self.side)

    def reaches(self, other: 'Entry') -> bool:
        """Tell whether a datagram gets there."""
        return other.alive and self.side == other.side

    def is_current(self) -> bool:
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
            if self.reaches(other):
                other.home.copied(copy)

    def listed(self) -> list[Candidate]:
        """Return who lives, by this entry's readings."""
        # What cannot be read ends nobody.
        read_at = self.read_at - READ_S
        return [
            Candidate(name, int(since * MS_PER_S))
            for name, (since, _, changed) in self.seen.items()
            if read_at - changed < LEASE_S or name == self.name
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
        self.homes.look()


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
        lost: dict[Entry, bool] = {}
        sides: dict[Entry, str] = {}
        for number, loss in enumerate(losses):
            met = self._met(number, loss)
            if loss.cut:
                side = f'side {number}' if loss.together else ''
                sides.update((each, side or each.name) for each in met)
            else:
                lost.update((each, loss.dark) for each in met)
        for entry in self.entries:
            entry.side = sides.get(entry, '')
            comes_back = not entry.alive and entry not in lost
            entry.alive = entry not in lost
            entry.dark = lost.get(entry, False)
            if comes_back:
                entry.start()
                entry.step()

    def _met(self, number: int, loss: Loss) -> Iterator[Entry]:
        """Return those whom a loss meets now."""
        if not loss.at <= self.clock.now < loss.at + loss.for_s:
            return iter(())
        count = round(len(self.entries) * loss.share)
        first = number * 7 % len(self.entries)
        around = itertools.cycle(self.entries)
        return itertools.islice(around, first, first + count)

    def _hear(self, sender: Entry, name: str, limit: RateLimit) -> None:
        for entry in self.entries:
            if entry is not sender and entry.alive and not entry.cut:
                entry.limiter.heard(name, limit)
