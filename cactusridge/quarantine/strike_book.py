"""The strikes known to one entry, its own and those of its peers."""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.quarantine.rules import QuarantineRule
from cactusridge.quarantine.strike import Strike, StrikePair

# Lifetime of a strike, in seconds.
STRIKE_LIFETIME_S = 3600
# Shortest time in which a crashed replica can be serving again, in seconds.
MIN_RESTART_S = 0.6
# Limits how many requests have their strikes kept; the request that was added
# first is evicted first.
MAX_REQUESTS = 4096
# Limits how many withdrawn strikes are remembered. A peer that has not yet
# received a withdrawal may send the strike again.
MAX_WITHDRAWN = 16_384


class RecordedStrike(NamedTuple):
    """A strike and the monotonic time at which this entry recorded it."""

    strike: Strike
    recorded_at: float


class StrikeBook:
    """Strikes by request and by incarnation of the replica.

    Strikes may arrive in any order and more than once. Entries that have
    received the same strikes quarantine the same requests.
    """

    def __init__(self, rule: QuarantineRule, clock: Clock) -> None:
        """Create an empty book whose quarantines follow ``rule``."""
        self._rule = rule
        self._clock = clock
        self._recorded: OrderedDict[str, dict[str, RecordedStrike]] = (
            OrderedDict()
        )
        self._by_incarnation: defaultdict[str, set[str]] = defaultdict(set)
        self._withdrawn: OrderedDict[StrikePair, None] = OrderedDict()
        # None means that the set must be computed again.
        self._quarantined: frozenset[str] | None = frozenset()
        self._valid_until = float('inf')
        # The set as it was last computed.
        self._last_quarantined: frozenset[str] = frozenset()

    def add(self, strike: Strike) -> bool:
        """Record a strike; return whether it is new and still valid."""
        if self._is_expired(strike) or self._is_known(strike):
            return False
        found = self._recorded.setdefault(strike.fingerprint, {})
        found[strike.life] = RecordedStrike(strike, self._clock.monotonic())
        self._by_incarnation[strike.life].add(strike.fingerprint)
        self._quarantined = None
        if len(self._recorded) > MAX_REQUESTS:
            oldest = self._first_to_drop()
            for incarnation in tuple(self._recorded[oldest]):
                self._remove(oldest, incarnation)
        return True

    def withdraw(self, pairs: Iterable[StrikePair]) -> list[StrikePair]:
        """Withdraw strikes permanently; return those that were known."""
        known = []
        for fingerprint, incarnation in pairs:
            self._withdrawn[(fingerprint, incarnation)] = None
            if incarnation in self._recorded.get(fingerprint, {}):
                self._remove(fingerprint, incarnation)
                known.append((fingerprint, incarnation))
        while len(self._withdrawn) > MAX_WITHDRAWN:
            self._withdrawn.popitem(last=False)
        return known

    def quarantined(self) -> frozenset[str]:
        """Return the fingerprints of the quarantined requests."""
        if self._quarantined is None or self._clock.wall() >= self._valid_until:
            self._drop_expired()
            self._quarantined = self._rule.quarantined(self._strikes())
            self._last_quarantined = self._quarantined
            self._valid_until = self._next_expiry()
        return self._quarantined

    def min_remaining_s(self, fingerprint: str) -> float:
        """Return the seconds until the oldest strike of a request expires.

        The request stays in quarantine for at least this long, unless strikes
        are withdrawn.
        """
        found = self._recorded.get(fingerprint, {}).values()
        first_at = min((each.strike.at for each in found), default=0)
        return max(0, first_at + STRIKE_LIFETIME_S - self._clock.wall())

    def strikes(self, fingerprint: str) -> list[Strike]:
        """Return the known strikes of a request."""
        found = self._recorded.get(fingerprint, {}).values()
        return [each.strike for each in found]

    def disproved(self, incarnation: str, sent_at: float) -> list[StrikePair]:
        """Return the strikes that a response from a replica disproves.

        ``sent_at`` is the monotonic time at which the answered request was
        sent. A strike recorded before it is disproved, because the incarnation
        still serves. Strikes older than MIN_RESTART_S stay: the replica may
        have restarted under its id before this entry has read its new start
        time.
        """
        oldest_at = self._clock.monotonic() - MIN_RESTART_S
        return [
            (fingerprint, incarnation)
            for fingerprint in self._by_incarnation.get(incarnation, ())
            if oldest_at
            < self._recorded[fingerprint][incarnation].recorded_at
            < sent_at
        ]

    def is_withdrawn(self, pair: StrikePair) -> bool:
        """Return whether a strike has been withdrawn."""
        return pair in self._withdrawn

    def _first_to_drop(self) -> str:
        """Return the key added first that is not quarantined, if any."""
        keys = iter(self._recorded)
        return next(
            (key for key in keys if key not in self._last_quarantined),
            next(iter(self._recorded)),
        )

    def _is_known(self, strike: Strike) -> bool:
        known = self._recorded.get(strike.fingerprint, {})
        return self.is_withdrawn(strike.pair) or strike.life in known

    def _is_expired(self, strike: Strike) -> bool:
        return strike.at + STRIKE_LIFETIME_S <= self._clock.wall()

    def _strikes(self) -> dict[str, dict[str, Strike]]:
        return {
            fingerprint: {
                incarnation: recorded.strike
                for incarnation, recorded in incarnations.items()
            }
            for fingerprint, incarnations in self._recorded.items()
        }

    def _drop_expired(self) -> None:
        expired = [
            (fingerprint, incarnation)
            for fingerprint, incarnations in self._recorded.items()
            for incarnation, recorded in incarnations.items()
            if self._is_expired(recorded.strike)
        ]
        for pair in expired:
            self._remove(*pair)

    def _next_expiry(self) -> float:
        """Return when the next strike expires, in Unix seconds."""
        recorded_times = (
            recorded.strike.at
            for incarnations in self._recorded.values()
            for recorded in incarnations.values()
        )
        return min(recorded_times, default=float('inf')) + STRIKE_LIFETIME_S

    def _remove(self, fingerprint: str, incarnation: str) -> None:
        incarnations = self._recorded[fingerprint]
        incarnations.pop(incarnation)
        if not incarnations:
            self._recorded.pop(fingerprint)
        here = self._by_incarnation[incarnation]
        here.discard(fingerprint)
        if not here:
            self._by_incarnation.pop(incarnation)
        self._quarantined = None
