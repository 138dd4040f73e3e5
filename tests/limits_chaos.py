"""Random stops, freezes, outages and lost messages in a simulated fleet."""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from cactusridge.organisations.errors import LimitUnavailable
from cactusridge.organisations.organisation import RateLimit
from tests.limits_entry import Entry
from tests.limits_fleet import Fleet, Roll
from tests.limits_limiters import by_owners

NAMES = ('o0', 'o1', 'o2', 'o3')
LIMIT = RateLimit(4, 4)
START_S = 20.0
STEP_S = 0.05
EVENT_SHARE = 0.03
OUTAGE_SHARE = 0.15
STOP = Roll(0)
EARLY = 'early'
KINDS = ('frozen', 'store_lost', 'killed', 'stop')
WAITS_S = (0.3, 1.0, 2.0, 2.8, 3.1, 4.0, 7.0)


class Ending(NamedTuple):
    """When something that befell an entry ends, and how."""

    at: float
    end: Callable[[], None]


class Chaos:
    """Lets random things happen to a fleet and counts double holders."""

    def __init__(
        self,
        entries: int,
        seed: int,
        lost_share: float,
        kinds: Sequence[str] = KINDS,
    ) -> None:
        """Start a fleet; all random choices depend on ``seed``.

        Of ``kinds`` is what befalls single entries.
        """
        self._kinds = kinds
        self.doubles: list[tuple[float, str]] = []
        self.admitted: list[tuple[float, str]] = []
        self._rng = random.Random(seed)
        self._fleet = Fleet(entries, by_owners, seed, lost_share=lost_share)
        self._endings: dict[Entry, Ending] = {}
        self._stops: dict[Entry, float] = {}
        self._outage_until = float(0)
        self._fleet.advance_to(START_S, ())

    def run(self, length_s: float) -> None:
        """Run for ``length_s`` seconds."""
        clock = self._fleet.clock
        end = clock.now + length_s
        while clock.now < end:
            self._fleet.advance_to(clock.now + STEP_S, ())
            self._end_due(clock.now)
            if self._rng.random() < EVENT_SHARE:
                self._begin(clock.now)
            self._send(clock.now)
            self.doubles += [
                (clock.now, name)
                for name in NAMES
                if self._fleet.holders(name) > 1
            ]

    def worst_window(self, name: str, window_s: float) -> int:
        """Return the most requests admitted in any ``window_s``."""
        times = [at for at, admitted in self.admitted if admitted == name]
        return max(
            (
                sum(first <= at < first + window_s for at in times)
                for first in times
            ),
            default=0,
        )

    def _send(self, now: float) -> None:
        """Send a request of each organisation to a random entry."""
        serving = [
            each
            for each in self._fleet.entries
            if each.serves and not each.frozen
        ]
        for name in NAMES:
            entry = self._rng.choice(serving) if serving else None
            if entry is not None and self._is_admitted(entry, name):
                self.admitted.append((now, name))

    def _is_admitted(self, entry: Entry, name: str) -> bool:
        try:
            return not entry.limiter.take(name, LIMIT, 1)
        except LimitUnavailable:
            return False

    def _begin(self, now: float) -> None:
        """Let something happen to an entry, or to the store."""
        free = [
            each
            for each in self._fleet.entries
            if each not in self._endings and each not in self._stops
        ]
        wait_s = self._rng.choice(WAITS_S)
        may_begin = now > self._outage_until + 4
        if may_begin and self._rng.random() < OUTAGE_SHARE:
            self._outage_until = now + wait_s
            for each in self._fleet.entries:
                self._befall(each, now + wait_s, 'store_lost')
        elif free:
            entry = self._rng.choice(free)
            kind = self._rng.choice(self._kinds)
            if kind == 'stop':
                self._stops[entry] = now
            else:
                self._befall(entry, now + wait_s, kind)

    def _befall(self, entry: Entry, until: float, kind: str) -> None:
        if entry in self._endings or entry in self._stops:
            return
        if kind == EARLY:
            # The process starts again before the store replies to it.
            entry.set_lost(lost=True, powered_off=False)
            entry.store_lost = True
            entry.set_lost(lost=False, powered_off=False)
            kind = 'store_lost'
        if kind == 'killed':
            entry.set_lost(lost=True, powered_off=False)
            self._endings[entry] = Ending(
                until, lambda: entry.set_lost(lost=False, powered_off=False)
            )
            return
        setattr(entry, kind, True)
        self._endings[entry] = Ending(
            until, lambda: setattr(entry, kind, False)
        )

    def _end_due(self, now: float) -> None:
        for entry, ending in tuple(self._endings.items()):
            if now >= ending.at:
                self._endings.pop(entry)
                ending.end()
        for entry, begun_at in tuple(self._stops.items()):
            entry.restarted = False
            entry.stop(now - begun_at, STOP)
            if entry.restarted:
                self._stops.pop(entry)
