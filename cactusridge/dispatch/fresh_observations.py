"""Observations of the speeds of replicas that peers have not received."""

from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.peers.speed_observations import (
    MAX_AGE_S,
    MAX_REPLICAS,
    SpeedObservations,
)

# Most replicas whose observations are kept for the next message. An entry
# without peers sends none.
MAX_KEPT = 256


class ObservationSum(NamedTuple):
    """Sums over observations: their number, ratios and monotonic times."""

    samples: int
    ratios: float
    times: float


class FreshObservations:
    """The observations of this entry since they were last taken."""

    def __init__(self, clock: Clock) -> None:
        """Start without observations."""
        self._clock = clock
        # Ordered by the first observation of each replica that is not taken.
        self._sums: dict[str, ObservationSum] = {}

    def add(self, incarnation: str, ratio: float) -> None:
        """Add an observation."""
        if incarnation not in self._sums and len(self._sums) >= MAX_KEPT:
            self._sums.pop(next(iter(self._sums)))
        before = self._sums.get(incarnation, ObservationSum(0, 0, 0))
        self._sums[incarnation] = ObservationSum(
            before.samples + 1,
            before.ratios + ratio,
            before.times + self._clock.monotonic(),
        )

    def forget(self, incarnation: str) -> None:
        """Discard the observations of an incarnation."""
        self._sums.pop(incarnation, None)

    def take(self) -> dict[str, SpeedObservations]:
        """Return and remove the observations of some replicas.

        These are the replicas that have waited longest, at most MAX_REPLICAS.
        """
        now = self._clock.monotonic()
        found = {}
        for incarnation in tuple(self._sums)[:MAX_REPLICAS]:
            sums = self._sums.pop(incarnation)
            age_s = now - sums.times / sums.samples
            if age_s <= MAX_AGE_S:
                found[incarnation] = SpeedObservations(
                    sums.ratios / sums.samples, sums.samples, age_s
                )
        return found
