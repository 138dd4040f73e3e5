"""How much batch work may run beside online requests."""

import abc
from collections import deque
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.settings.schema import ObjectiveSettings

PERIOD_S = 0.25
SAMPLES = 64
PERCENTILE = 0.95
CUT = 0.5
GROWTH_PERIODS = 8
PEAK_S = 0.75


class OnlineLoad(NamedTuple):
    """Online requests at an upstream now."""

    running: int
    waiting: int


class BatchController(abc.ABC):
    """Decides the number of batch requests that may be at the upstream."""

    @abc.abstractmethod
    def first_token(self, seconds: float) -> None:
        """Take one observed time to the first token of online work."""

    @abc.abstractmethod
    def between_tokens(self, seconds: float) -> None:
        """Take one observed time between tokens of online work."""

    @abc.abstractmethod
    def limit(self, load: OnlineLoad) -> int:
        """Return how many batch requests may run beside ``load``."""


class FillController(BatchController):
    """Naive: batch takes every free slot, whatever online feels."""

    def __init__(self, slots: int) -> None:
        """Fill ``slots``."""
        self._slots = slots

    def first_token(self, seconds: float) -> None:
        """Pass over the observation."""

    def between_tokens(self, seconds: float) -> None:
        """Pass over the observation."""

    def limit(self, load: OnlineLoad) -> int:
        """Return the free slots."""
        return max(0, self._slots - load.running)


class ObjectiveController(BatchController):
    """Grows batch while online is well inside its objective.

    Halves the level when the 95th percentile of a quarter second's
    observations uses up more than ``share`` of the objective, adds an
    eighth of the slots otherwise. Slots that online used in the last
    moments are kept free, so that a full engine is not filled and
    emptied again between two online requests.
    """

    def __init__(
        self,
        slots: int,
        objective: ObjectiveSettings,
        share: float,
        clock: Clock,
    ) -> None:
        """Start with all slots open to batch."""
        self._slots = slots
        self._objective = objective
        self.share = share
        self._clock = clock
        self._level = float(slots)
        self._use: deque[float] = deque(maxlen=SAMPLES)
        self._changed_at = clock.monotonic()
        self._peaks: deque[tuple[float, int]] = deque()

    def first_token(self, seconds: float) -> None:
        """Take one observed time to the first token of online work."""
        self._use.append(seconds / self._objective.first_token_s)

    def between_tokens(self, seconds: float) -> None:
        """Take one observed time between tokens of online work."""
        self._use.append(seconds / self._objective.between_tokens_s)

    def limit(self, load: OnlineLoad) -> int:
        """Return how many batch requests may run beside ``load``."""
        self._adjust()
        if load.waiting:
            return 0
        kept_free = self._recent_peak(load)
        return max(0, min(int(self._level), self._slots - kept_free))

    def _adjust(self) -> None:
        now = self._clock.monotonic()
        if now - self._changed_at < PERIOD_S:
            return
        self._changed_at = now
        if self._use and self._worst() > self.share:
            self._level = max(1, self._level * CUT)
        else:
            step = max(1, self._slots / GROWTH_PERIODS)
            self._level = min(self._slots, self._level + step)
        self._use.clear()

    def _worst(self) -> float:
        ranked = sorted(self._use)
        return ranked[min(len(ranked) - 1, int(len(ranked) * PERCENTILE))]

    def _recent_peak(self, load: OnlineLoad) -> int:
        """Return the most online requests at once in the last moments."""
        now = self._clock.monotonic()
        while self._peaks and now - self._peaks[0][0] > PEAK_S:
            self._peaks.popleft()
        # Smaller peaks before this one do not matter any more.
        while self._peaks and self._peaks[-1][1] <= load.running:
            self._peaks.pop()
        self._peaks.append((now, load.running))
        return self._peaks[0][1]
