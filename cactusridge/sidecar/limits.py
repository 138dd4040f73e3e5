"""Limits on the online requests that run at an upstream at once."""

import abc

from cactusridge.clock import Clock
from cactusridge.settings.schema import ObjectiveSettings

SAFE_SHARE = 0.5
DECREASE_FACTOR = 0.8
FLOOR_DIVISOR = 4


class ConcurrencyLimit(abc.ABC):
    """Limits how many online requests may run at an upstream at once."""

    @abc.abstractmethod
    def observe(self, first_token_s: float, running: int) -> None:
        """Record a time to first token, in seconds.

        ``running`` is the number of online requests that ran at that time.
        """

    @abc.abstractmethod
    def current(self) -> int:
        """Return the current limit, in requests."""


class FixedLimit(ConcurrencyLimit):
    """Baseline policy whose limit is always the number of slots."""

    def __init__(self, slots: int) -> None:
        """Set the limit to ``slots``."""
        self._slots = slots

    def observe(self, first_token_s: float, running: int) -> None:
        """Ignore the observation."""

    def current(self) -> int:
        """Return the number of slots."""
        return self._slots


class ObjectiveLimit(ConcurrencyLimit):
    """Adapts the limit to the time to first token.

    The limit is multiplied by ``DECREASE_FACTOR`` when the time to first
    token exceeds ``SAFE_SHARE`` of its objective, and grows slowly
    otherwise. An engine with continuous batching has a higher throughput
    the more slots are in use, so the limit is reduced only when the
    objective is at risk. A gradient limit, which follows the lowest time
    to first token, is not used: under overload it halved the number of
    slots in use and doubled the wait.
    """

    def __init__(
        self,
        slots: int,
        objective: ObjectiveSettings,
        clock: Clock,
    ) -> None:
        """Start at ``slots``; never go below a quarter of them."""
        self._slots = slots
        self._floor = max(1, slots // FLOOR_DIVISOR)
        self._objective = objective
        self._clock = clock
        self._limit = float(slots)
        self._decreased_at = clock.monotonic()

    def observe(self, first_token_s: float, running: int) -> None:
        """Record a time to first token, in seconds.

        ``running`` is the number of online requests that ran at that time.
        """
        now = self._clock.monotonic()
        if first_token_s <= self._objective.first_token_s * SAFE_SHARE:
            grown = self._limit + 1 / self._limit
            self._limit = min(self._slots, grown)
        elif now - self._decreased_at > first_token_s:
            # Requests that were in flight at the last decrease are not a
            # reason for another: they started under the higher limit.
            self._decreased_at = now
            self._limit = max(self._floor, self._limit * DECREASE_FACTOR)

    def current(self) -> int:
        """Return the current limit, in requests."""
        return int(self._limit)
