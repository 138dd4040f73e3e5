"""How many online requests may be at the upstream at once."""

import abc

from cactusridge.clock import Clock
from cactusridge.settings.schema import ObjectiveSettings

DANGER_SHARE = 0.5
CUT = 0.8
FLOOR_PART = 4


class ConcurrencyLimit(abc.ABC):
    """A limit on requests at the upstream."""

    @abc.abstractmethod
    def observe(self, first_token_s: float, running: int) -> None:
        """Take the first-token time of a request and the load it met."""

    @abc.abstractmethod
    def current(self) -> int:
        """Return the limit now."""


class FixedLimit(ConcurrencyLimit):
    """Naive: the number of slots, whatever is observed."""

    def __init__(self, slots: int) -> None:
        """Always allow ``slots``."""
        self._slots = slots

    def observe(self, first_token_s: float, running: int) -> None:
        """Pass over the observation."""

    def current(self) -> int:
        """Return the slots."""
        return self._slots


class ObjectiveLimit(ConcurrencyLimit):
    """Shrinks while first tokens use up too much of the objective.

    An engine that batches continuously yields more tokens the fuller it
    is, so fewer requests help only when the objective is in danger: a
    limit that followed the best first-token time seen (a gradient) cut
    the engine to half its slots under a flood and doubled the wait.
    """

    def __init__(
        self,
        slots: int,
        objective: ObjectiveSettings,
        clock: Clock,
    ) -> None:
        """Move between a quarter of ``slots`` and all; start at all."""
        self._slots = slots
        self._floor = max(1, slots // FLOOR_PART)
        self._objective = objective
        self._clock = clock
        self._limit = float(slots)
        self._cut_at = clock.monotonic()

    def observe(self, first_token_s: float, running: int) -> None:
        """Take the first-token time of a request and the load it met."""
        now = self._clock.monotonic()
        if first_token_s <= self._objective.first_token_s * DANGER_SHARE:
            grown = self._limit + 1 / self._limit
            self._limit = min(self._slots, grown)
        elif now - self._cut_at > first_token_s:
            # One cut for the requests that were on their way together.
            self._cut_at = now
            self._limit = max(self._floor, self._limit * CUT)

    def current(self) -> int:
        """Return the limit now."""
        return int(self._limit)
