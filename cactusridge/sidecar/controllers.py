"""Limits on the batch requests that run alongside online requests."""

import abc
from collections import deque
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.settings.schema import ObjectiveSettings

ADJUST_INTERVAL_S = 0.25
MAX_SAMPLES = 64
PERCENTILE = 0.95
DECREASE_FACTOR = 0.5
GROWTH_STEPS = 8
PEAK_WINDOW_S = 0.75


class OnlineLoad(NamedTuple):
    """The numbers of online requests that run and wait at an upstream."""

    running: int
    waiting: int


class BatchController(abc.ABC):
    """Sets how many batch requests may run at an upstream at once."""

    @abc.abstractmethod
    def observe_first_token(self, seconds: float) -> None:
        """Record an online request's time to first token, in seconds."""

    @abc.abstractmethod
    def observe_token_gap(self, seconds: float) -> None:
        """Record an online request's time between tokens, in seconds."""

    @abc.abstractmethod
    def limit(self, load: OnlineLoad) -> int:
        """Return how many batch requests may run alongside ``load``."""


class FillSlotsController(BatchController):
    """Baseline policy that lets batch requests use every free slot.

    It ignores the latency of online requests.
    """

    def __init__(self, slots: int) -> None:
        """Allow up to ``slots`` requests in total."""
        self._slots = slots

    def observe_first_token(self, seconds: float) -> None:
        """Ignore the observation."""

    def observe_token_gap(self, seconds: float) -> None:
        """Ignore the observation."""

    def limit(self, load: OnlineLoad) -> int:
        """Return the number of slots that online requests leave free."""
        return max(0, self._slots - load.running)


class ObjectiveController(BatchController):
    """Adapts the batch limit to the latency of online requests.

    The level is adjusted every quarter second. It is halved when the 95th
    percentile of the latencies observed since the last adjustment exceeds
    ``share`` of the latency objective, and otherwise grows by an eighth of
    the slots. As many slots as online requests used at peak in the last
    ``PEAK_WINDOW_S`` seconds stay reserved for them, so that batch requests
    are not started and preempted between two online requests.
    """

    def __init__(
        self,
        slots: int,
        objective: ObjectiveSettings,
        share: float,
        clock: Clock,
    ) -> None:
        """Start with a level that allows batch requests on all slots."""
        self._slots = slots
        self._objective = objective
        self.share = share
        self._clock = clock
        self._level = float(slots)
        self._objective_shares: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._adjusted_at = clock.monotonic()
        self._peaks: deque[tuple[float, int]] = deque()

    def observe_first_token(self, seconds: float) -> None:
        """Record an online request's time to first token, in seconds."""
        self._objective_shares.append(seconds / self._objective.first_token_s)

    def observe_token_gap(self, seconds: float) -> None:
        """Record an online request's time between tokens, in seconds."""
        self._objective_shares.append(
            seconds / self._objective.between_tokens_s
        )

    def limit(self, load: OnlineLoad) -> int:
        """Return how many batch requests may run alongside ``load``."""
        self._adjust()
        if load.waiting:
            return 0
        reserved = self._recent_peak(load)
        return max(0, min(int(self._level), self._slots - reserved))

    def _adjust(self) -> None:
        now = self._clock.monotonic()
        if now - self._adjusted_at < ADJUST_INTERVAL_S:
            return
        self._adjusted_at = now
        if self._objective_shares and self._high_percentile() > self.share:
            self._level = max(1, self._level * DECREASE_FACTOR)
        else:
            step = max(1, self._slots / GROWTH_STEPS)
            self._level = min(self._slots, self._level + step)
        self._objective_shares.clear()

    def _high_percentile(self) -> float:
        ranked = sorted(self._objective_shares)
        return ranked[min(len(ranked) - 1, int(len(ranked) * PERCENTILE))]

    def _recent_peak(self, load: OnlineLoad) -> int:
        """Return the peak of running online requests in the last window.

        The window is ``PEAK_WINDOW_S`` seconds long.
        """
        now = self._clock.monotonic()
        while self._peaks and now - self._peaks[0][0] > PEAK_WINDOW_S:
            self._peaks.popleft()
        # Earlier peaks that are no higher than this load expire first and
        # can never be the maximum again.
        while self._peaks and self._peaks[-1][1] <= load.running:
            self._peaks.pop()
        self._peaks.append((now, load.running))
        return self._peaks[0][1]
