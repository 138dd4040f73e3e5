"""The strikes that one entry knows, its own and those of its peers."""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.quarantine.rules import QuarantineRule
from cactusridge.quarantine.strike import Pair, Strike

# A strike counts for this long, in seconds.
STRIKE_LASTS_S = 3600
# A replica that has crashed is back after this many seconds at the least.
BACK_S = 1.0
# Requests with strikes that are kept; the oldest go first.
MAX_REQUESTS = 4096
# Strikes taken back that are remembered, so that a peer that has not
# heard of it does not bring them back.
MAX_WITHDRAWN = 16_384


class Noted(NamedTuple):
    """A strike and when this entry heard of it, on its own clock."""

    strike: Strike
    noted_at: float


class StrikeBook:
    """Strikes by request and by life of the replica.

    Entries may hear of strikes in any order and more than once; who has
    heard the same holds the same requests back.
    """

    def __init__(self, rule: QuarantineRule, clock: Clock) -> None:
        """Hold back by ``rule``."""
        self._rule = rule
        self._clock = clock
        self._noted: OrderedDict[str, dict[str, Noted]] = OrderedDict()
        self._at_life: defaultdict[str, set[str]] = defaultdict(set)
        self._withdrawn: OrderedDict[Pair, None] = OrderedDict()
        # None: to be found anew.
        self._held: frozenset[str] | None = frozenset()
        self._held_until = float('inf')

    def add(self, strike: Strike) -> bool:
        """Note a strike; tell whether it is new and counts."""
        if self._is_over(strike) or self._knows(strike):
            return False
        found = self._noted.setdefault(strike.fingerprint, {})
        found[strike.life] = Noted(strike, self._clock.monotonic())
        self._at_life[strike.life].add(strike.fingerprint)
        self._held = None
        if len(self._noted) > MAX_REQUESTS:
            oldest = next(iter(self._noted))
            for life in tuple(self._noted[oldest]):
                self._remove(oldest, life)
        return True

    def withdraw(self, pairs: Iterable[Pair]) -> list[Pair]:
        """Take strikes back for good; return those that were known."""
        known = []
        for fingerprint, life in pairs:
            self._withdrawn[(fingerprint, life)] = None
            if life in self._noted.get(fingerprint, {}):
                self._remove(fingerprint, life)
                known.append((fingerprint, life))
        while len(self._withdrawn) > MAX_WITHDRAWN:
            self._withdrawn.popitem(last=False)
        return known

    def held(self) -> frozenset[str]:
        """Return the fingerprints of the requests that are held back."""
        if self._held is None or self._clock.wall() >= self._held_until:
            self._forget_old()
            self._held = self._rule.held(self._strikes())
            self._held_until = self._next_end()
        return self._held

    def held_for_s(self, fingerprint: str) -> float:
        """Return how long a request is held back at the least, in s."""
        found = self._noted.get(fingerprint, {}).values()
        first_at = min((each.strike.at for each in found), default=0)
        return max(0, first_at + STRIKE_LASTS_S - self._clock.wall())

    def strikes(self, fingerprint: str) -> list[Strike]:
        """Return what is known against a request."""
        found = self._noted.get(fingerprint, {}).values()
        return [each.strike for each in found]

    def disproved(self, life: str, sent_at: float) -> list[Pair]:
        """Return the strikes that an answer to a later request disproves.

        Old ones stay: the replica may be back under its id, before this
        entry has read that it is another life.
        """
        back_at = self._clock.monotonic() - BACK_S
        return [
            (found, life)
            for found in self._at_life.get(life, ())
            if back_at < self._noted[found][life].noted_at < sent_at
        ]

    def is_withdrawn(self, pair: Pair) -> bool:
        """Tell whether a strike was taken back."""
        return pair in self._withdrawn

    def _knows(self, strike: Strike) -> bool:
        known = self._noted.get(strike.fingerprint, {})
        return self.is_withdrawn(strike.pair) or strike.life in known

    def _is_over(self, strike: Strike) -> bool:
        return strike.at + STRIKE_LASTS_S <= self._clock.wall()

    def _strikes(self) -> dict[str, dict[str, Strike]]:
        return {
            found: {life: noted.strike for life, noted in lives.items()}
            for found, lives in self._noted.items()
        }

    def _forget_old(self) -> None:
        over = [
            (found, life)
            for found, lives in self._noted.items()
            for life, noted in lives.items()
            if self._is_over(noted.strike)
        ]
        for pair in over:
            self._remove(*pair)

    def _next_end(self) -> float:
        """Return when the next strike ceases to count, in Unix seconds."""
        begun = (
            noted.strike.at
            for lives in self._noted.values()
            for noted in lives.values()
        )
        return min(begun, default=float('inf')) + STRIKE_LASTS_S

    def _remove(self, fingerprint: str, life: str) -> None:
        lives = self._noted[fingerprint]
        lives.pop(life)
        if not lives:
            self._noted.pop(fingerprint)
        here = self._at_life[life]
        here.discard(fingerprint)
        if not here:
            self._at_life.pop(life)
        self._held = None
