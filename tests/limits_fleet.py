"""Simulated fleet of entries that enforce rate limits, without a network.

Entries are lost, restarted and partitioned while the simulated clock runs.
"""

import itertools
import random
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

from cactusridge.clock import ManualClock
from cactusridge.organisations.limiter import Limiter
from cactusridge.organisations.organisation import RateLimit
from tests.limits_entry import Entry
from tests.limits_membership import FleetRow

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


class Outage(NamedTuple):
    """The store is unavailable to a ``share`` of the entries.

    It refuses calls, or does not reply to them if it is ``silent``.
    """

    at: float
    for_s: float
    share: float = 1
    silent: bool = False


class Roll(NamedTuple):
    """Restart of all entries, one each ``interval_s`` from ``at`` on.

    A stop takes ``stop_s``, of which the entry accepts requests for
    ``ready_s``; it is listed until ``leave_s``. The process is back
    ``restart_s`` after its stop.
    """

    at: float
    interval_s: float = 2.0
    stop_s: float = 3.0
    ready_s: float = 1.0
    leave_s: float = 1.5
    restart_s: float = 0.7


class Fleet:
    """A fleet of simulated entries with a shared clock and store."""

    def __init__(
        self,
        entries: int,
        make: Callable[[Entry], Limiter],
        seed: int,
        has_handover: bool = True,
        lost_share: float = 0,
    ) -> None:
        """Create ``entries`` entries with the limiters ``make`` returns.

        Messages about handovers are lost with probability ``lost_share``.
        """
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.make = make
        self.has_handover = has_handover
        self.lost_share = lost_share
        self.rows: dict[str, FleetRow] = {}
        self.messages = 0
        self.handover_messages = 0
        self._broadcasts: list[tuple[float, Entry, str, RateLimit]] = []
        self.entries = [Entry(self, number) for number in range(entries)]
        self.by_name = {each.name: each for each in self.entries}

    def holders(self, name: str) -> int:
        """Return how many entries may count an organisation now."""
        running = [each for each in self.entries if each.alive]
        holds = [each.process.counter.holds for each in running]
        return sum(each.usable(name) is not None for each in holds)

    def broadcast(self, sender: Entry, name: str, limit: RateLimit) -> None:
        """Report a request to all entries after BROADCAST_DELAY_S."""
        self.messages += len(self.entries) - 1
        self._broadcasts.append(
            (self.clock.now + BROADCAST_DELAY_S, sender, name, limit)
        )

    def advance_to(
        self,
        now: float,
        losses: Sequence[Loss],
        outages: Sequence[Outage] = (),
        roll: Roll | None = None,
    ) -> None:
        """Advance the clock to ``now`` in steps and run all entries."""
        while self.clock.now < now:
            self.clock.now = min(now, self.clock.now + STEP_S)
            self._apply_losses(losses)
            if outages:
                self._apply_outages(outages)
            if roll is not None:
                self._apply_roll(roll)
            for entry in self.entries:
                entry.run_due(self.clock.now)
            while self._broadcasts and self._broadcasts[0][0] <= self.clock.now:
                self._deliver(*self._broadcasts.pop(0)[1:])

    def _apply_outages(self, outages: Sequence[Outage]) -> None:
        now = self.clock.now
        current = [
            each for each in outages if each.at <= now < each.at + each.for_s
        ]
        for silent, kind in ((False, 'store_lost'), (True, 'store_silent')):
            shares = [each.share for each in current if each.silent is silent]
            count = round(len(self.entries) * max(shares, default=0))
            for number, entry in enumerate(self.entries):
                setattr(entry, kind, number < count)

    def _apply_roll(self, roll: Roll) -> None:
        """Stop and restart each entry when it is its turn."""
        for number, entry in enumerate(self.entries):
            stop_at = roll.at + number * roll.interval_s
            passed_s = self.clock.now - stop_at
            if passed_s < 0 or entry.restarted:
                continue
            entry.stop(passed_s, roll)

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
            entry.set_lost(entry in lost, powered_off=lost.get(entry, False))

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
