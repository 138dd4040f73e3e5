"""Simulated fleet of entries that enforce rate limits, without a network.

Entries are lost, restarted and partitioned while the simulated clock runs.
"""

import itertools
import random
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from cactusridge.clock import ManualClock
from cactusridge.organisations.limit_counter import LimitCounter
from cactusridge.organisations.limit_messages import LimitCopy
from cactusridge.organisations.limit_owners import (
    MS_PER_S,
    UPDATE_INTERVAL_S,
    Candidate,
    LimitOwners,
)
from cactusridge.organisations.limiter import Limiter
from cactusridge.organisations.organisation import RateLimit

READ_S = 1.0
LEASE_S = 3.2
ROW_CURRENT_S = 2.5
MEMBERSHIP_GAP_S = 3.0
BROADCAST_DELAY_S = 0.1
STEP_S = 0.005


class Loss(NamedTuple):
    """Failure of a ``share`` of the entries from ``at`` on, for ``for_s``.

    With ``partitioned`` the entries keep running but cannot reach the store
    or other entries; with ``as_group`` they reach each other. Without
    ``partitioned`` they are stopped, and their hosts refuse connections
    unless these are ``powered_off``.
    """

    at: float
    for_s: float
    share: float
    partitioned: bool = False
    as_group: bool = False
    powered_off: bool = False


class Entry:
    """A simulated entry with its view of the membership and its limiter."""

    def __init__(self, fleet: 'Fleet', number: int) -> None:
        """Start entry ``number`` at the current time of ``fleet``."""
        self.fleet = fleet
        self.name = f'10.0.{number // 250}.{number % 250}:1'
        self.alive = True
        self.powered_off = False
        # Entries with equal names here reach each other; those with an
        # empty name also reach the store.
        self.partition = ''
        self.since = float(0)
        self.renewed = float(0)
        self.read_rows: dict[str, tuple[float, float, float]] = {}
        self.read_at = fleet.rng.uniform(0, READ_S)
        self.start()

    def start(self) -> None:
        """Start the entry's process without any state in memory."""
        clock = self.fleet.clock
        self.read_rows = {}
        self.owners = LimitOwners(
            self.name,
            self.listed,
            lambda: clock.monotonic() * MS_PER_S,
            self.is_current,
            clock,
        )
        self.counter = LimitCounter(self.owners, clock)
        self.counter.on_counted(self.send_copies)
        self.update_at = clock.now
        self.limiter = self.fleet.make(self)

    @property
    def partitioned(self) -> bool:
        """Whether the entry cannot reach the store."""
        return bool(self.partition)

    def reaches(self, other: 'Entry') -> bool:
        """Return whether a datagram from this entry reaches ``other``."""
        return other.alive and self.partition == other.partition

    def is_current(self) -> bool:
        """Return whether this entry's row was renewed recently."""
        return self.fleet.clock.now - self.renewed < ROW_CURRENT_S

    def run_due(self, now: float) -> None:
        """Run the periodic work that is due at ``now``."""
        if self.alive and not self.partitioned and now >= self.read_at:
            self.step()
        if self.alive and now >= self.update_at:
            self.owners.update()
            self.update_at = now + UPDATE_INTERVAL_S

    def send_copies(self, copy: LimitCopy) -> None:
        """Send the remaining tokens to the backup owners."""
        for name in self.owners.ranked_entries(copy.name)[1:]:
            other = self.fleet.by_name[name]
            self.fleet.messages += 1
            if self.reaches(other):
                other.counter.store_copy(copy)

    def listed(self) -> list[Candidate]:
        """Return the live entries according to this entry's reads."""
        # Ages count up to the last read, so that an entry that cannot read
        # the list does not treat the others as expired.
        read_at = self.read_at - READ_S
        return [
            Candidate(name, int(since * MS_PER_S))
            for name, (since, _, changed) in self.read_rows.items()
            if read_at - changed < LEASE_S or name == self.name
        ]

    def step(self) -> None:
        """Renew this entry's row and read the rows of all entries."""
        now = self.fleet.clock.now
        if now - self.renewed > MEMBERSHIP_GAP_S:
            self.since = now
        self.renewed = now
        self.fleet.rows[self.name] = (self.since, now)
        for name, (since, renewed) in self.fleet.rows.items():
            known = self.read_rows.get(name)
            same = known is not None and known[1] == renewed
            changed = known[2] if same else now
            self.read_rows[name] = (since, renewed, changed)
        self.read_at = now + READ_S
        self.owners.update()


class Fleet:
    """A fleet of simulated entries with a shared clock and store."""

    def __init__(
        self,
        entries: int,
        make: Callable[[Entry], Limiter],
        seed: int,
    ) -> None:
        """Create ``entries`` entries with the limiters ``make`` returns."""
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.make = make
        self.rows: dict[str, tuple[float, float]] = {}
        self.messages = 0
        self._broadcasts: list[tuple[float, Entry, str, RateLimit]] = []
        self.entries = [Entry(self, number) for number in range(entries)]
        self.by_name = {each.name: each for each in self.entries}

    def broadcast(self, sender: Entry, name: str, limit: RateLimit) -> None:
        """Report a request to all entries after BROADCAST_DELAY_S."""
        self.messages += len(self.entries) - 1
        self._broadcasts.append(
            (self.clock.now + BROADCAST_DELAY_S, sender, name, limit)
        )

    def advance_to(self, now: float, losses: Sequence[Loss]) -> None:
        """Advance the clock to ``now`` in steps and run all entries."""
        while self.clock.now < now:
            self.clock.now = min(now, self.clock.now + STEP_S)
            self._apply_losses(losses)
            for entry in self.entries:
                entry.run_due(self.clock.now)
            while self._broadcasts and self._broadcasts[0][0] <= self.clock.now:
                self._deliver(*self._broadcasts.pop(0)[1:])

    def _apply_losses(self, losses: Sequence[Loss]) -> None:
        """Stop, partition or restart entries according to ``losses``."""
        lost: dict[Entry, bool] = {}
        partitions: dict[Entry, str] = {}
        for number, loss in enumerate(losses):
            met = self._affected(number, loss)
            if loss.partitioned:
                partition = f'partition {number}' if loss.as_group else ''
                partitions.update(
                    (each, partition or each.name) for each in met
                )
            else:
                lost.update((each, loss.powered_off) for each in met)
        for entry in self.entries:
            entry.partition = partitions.get(entry, '')
            restarts = not entry.alive and entry not in lost
            entry.alive = entry not in lost
            entry.powered_off = lost.get(entry, False)
            if restarts:
                entry.start()
                entry.step()

    def _affected(self, number: int, loss: Loss) -> Iterator[Entry]:
        """Return the entries that the loss with this number affects now."""
        if not loss.at <= self.clock.now < loss.at + loss.for_s:
            return iter(())
        count = round(len(self.entries) * loss.share)
        first = number * 7 % len(self.entries)
        around = itertools.cycle(self.entries)
        return itertools.islice(around, first, first + count)

    def _deliver(self, sender: Entry, name: str, limit: RateLimit) -> None:
        for entry in self.entries:
            if entry is not sender and entry.alive and not entry.partitioned:
                entry.limiter.receive(name, limit)
