"""The strikes known to one entry, its own and those of its peers."""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.quarantine.rules import QuarantineRule
from cactusridge.quarantine.strike import Pair, Strike

# Lifetime of a strike, in seconds.
STRIKE_LASTS_S = 3600
# Shortest time in which a crashed replica can be serving again, in seconds.
BACK_S = 1.0
# Limits how many requests have their strikes kept; the request that was added
# first is evicted first.
MAX_REQUESTS = 4096
# Limits how many withdrawn strikes are remembered. A peer that has not yet
# received a withdrawal may send the strike again.
MAX_WITHDRAWN = 16_384


class Noted(NamedTuple):
    """A strike and the monotonic time at which this entry recorded it."""

    strike: Strike
    noted_at: float


class StrikeBook:
    """Strikes by request and by incarnation of the replica.

    Strikes may arrive in any order and more than once. Entries that have
    received the same strikes quarantine the same requests.
    """

    def __init__(self, rule: QuarantineRule, clock: Clock) -> None:
        """Create an empty book whose quarantines follow ``rule``."""
        self._rule = rule
        self._clock = clock
        self._noted: OrderedDict[str, dict[str, Noted]] = OrderedDict()
        self._at_life: defaultdict[str, set[str]] = defaultdict(set)
        self._withdrawn: OrderedDict[Pair, None] = OrderedDict()
        # None means that the set must be computed again.
        self._held: frozenset[str] | None = frozenset()
        self._held_until = float('inf')

    def add(self, strike: Strike) -> bool:
        """Record a strike; return whether it is new and still valid."""
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
        """Withdraw strikes permanently; return those that were known."""
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
        """Return the fingerprints of the quarantined requests."""
        if self._held is None or self._clock.wall() >= self._held_until:
            self._forget_old()
            self._held = self._rule.held(self._strikes())
            self._held_until = self._next_end()
        return self._held

    def held_for_s(self, fingerprint: str) -> float:
        """Return the seconds until the oldest strike of a request expires.

        The request stays in quarantine for at least this long, unless strikes
        are withdrawn.
        """
        found = self._noted.get(fingerprint, {}).values()
        first_at = min((each.strike.at for each in found), default=0)
        return max(0, first_at + STRIKE_LASTS_S - self._clock.wall())

    def strikes(self, fingerprint: str) -> list[Strike]:
        """Return the known strikes of a request."""
        found = self._noted.get(fingerprint, {}).values()
        return [each.strike for each in found]

    def disproved(self, life: str, sent_at: float) -> list[Pair]:
        """Return the strikes that a response from a replica disproves.

        ``sent_at`` is the monotonic time at which the answered request was
        sent. A strike recorded before it is disproved, because the incarnation
        still serves. Strikes older than BACK_S stay: the replica may have
        restarted under its id before this entry has read its new start time.
        """
        back_at = self._clock.monotonic() - BACK_S
        return [
            (found, life)
            for found in self._at_life.get(life, ())
            if back_at < self._noted[found][life].noted_at < sent_at
        ]

    def is_withdrawn(self, pair: Pair) -> bool:
        """Return whether a strike has been withdrawn."""
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
        """Return when the next strike expires, in Unix seconds."""
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
