"""Estimates the speeds of replicas relative to their services."""

import math
from collections.abc import Mapping
from typing import NamedTuple

from cactusridge.clock import Clock

# Time in seconds after which an observation counts half. A slow phase that
# lasts is detected within a few seconds. A replica that gets no requests
# because it looked slow counts as usual again after some 15 s, or after 36 s if
# it had completed a hundred requests a second.
HALF_LIFE_S = 4.0
# Number of assumed observations at the usual speed. With fewer real ones the
# estimate stays near the usual speed: together with MAX_RATIO, a single
# outlier does not move it by more than USUAL_RANGE.
PRIOR_SAMPLES = 6.0
# Range of a single observation, as multiples of the usual time.
MIN_RATIO = 0.4
MAX_RATIO = 2.5
# A replica whose speed differs from the usual one, 1, by no more than this
# counts as usual, so that a fleet of equal replicas is not reordered by noise.
USUAL_RANGE = 0.2
# A replica with less weight of observations is forgotten.
LEAST_SAMPLES = 0.1
# Time in seconds for which computed speeds are used.
REFRESH_S = 0.1


class SpeedEstimate(NamedTuple):
    """The weighted observations of one replica.

    ``samples`` is the sum of the weights at the monotonic time ``at``,
    ``ratios`` the weighted sum of observed times as multiples of the usual
    time, and ``newest_at`` the time of the newest observation.
    """

    samples: float
    ratios: float
    at: float
    newest_at: float

    def decayed(self, now: float) -> 'SpeedEstimate':
        """Return the estimate with the weights at the time ``now``."""
        left = 2 ** ((self.at - now) / HALF_LIFE_S)
        return self._replace(
            samples=self.samples * left, ratios=self.ratios * left, at=now
        )

    @property
    def speed(self) -> float:
        """The speed, 1 for a replica within ``USUAL_RANGE`` of it."""
        prior = PRIOR_SAMPLES
        speed = (prior + self.samples) / (prior + self.ratios)
        return speed if abs(speed - 1) > USUAL_RANGE else 1


class ReplicaSpeeds:
    """The speeds of replicas by incarnation key; old observations decay.

    A replica without observations has the usual speed of its service, 1.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without observations."""
        self._clock = clock
        self._estimates: dict[str, SpeedEstimate] = {}
        self._unusual: dict[str, float] = {}
        self._computed_at = -math.inf

    def add(
        self,
        incarnation: str,
        ratio: float,
        samples: float = 1,
        age_s: float = 0,
    ) -> None:
        """Add ``samples`` observations with the mean ratio ``ratio``.

        They were made ``age_s`` seconds ago.
        """
        now = self._clock.monotonic()
        ratio = clamped_ratio(ratio)
        weight = samples * 2 ** (-age_s / HALF_LIFE_S)
        empty = SpeedEstimate(0, 0, now, -math.inf)
        before = self._estimates.get(incarnation, empty).decayed(now)
        self._estimates[incarnation] = SpeedEstimate(
            before.samples + weight,
            before.ratios + weight * ratio,
            now,
            max(before.newest_at, now - age_s),
        )

    def forget(self, incarnation: str) -> None:
        """Discard the observations of an incarnation."""
        self._estimates.pop(incarnation, None)
        self._unusual.pop(incarnation, None)

    def get(self, incarnation: str) -> SpeedEstimate | None:
        """Return the present estimate of a replica with observations."""
        found = self._estimates.get(incarnation)
        return found and found.decayed(self._clock.monotonic())

    def unusual(self) -> Mapping[str, float]:
        """Return the speeds of the replicas that are not as usual.

        They are computed at most every ``REFRESH_S`` seconds, since each
        request compares all replicas of its cell.
        """
        now = self._clock.monotonic()
        if now - self._computed_at >= REFRESH_S:
            self._computed_at = now
            self._compute(now)
        return self._unusual

    def _compute(self, now: float) -> None:
        self._estimates = {
            incarnation: estimate
            for incarnation, stored in self._estimates.items()
            if (estimate := stored.decayed(now)).samples >= LEAST_SAMPLES
        }
        speeds = {key: each.speed for key, each in self._estimates.items()}
        self._unusual = {
            key: speed for key, speed in speeds.items() if speed != 1
        }


def clamped_ratio(ratio: float) -> float:
    """Return ``ratio`` limited to the range of a single observation."""
    return max(MIN_RATIO, min(MAX_RATIO, ratio))
