"""A simulated replica of its own speed with slow phases."""

import heapq
import random
from typing import NamedTuple

# In a slow phase a replica is this many times slower.
SLOWER = 2.5
PHASE_S = 0.6
# Share of the time in slow phases.
SLOW_SHARE = 0.15


class Served(NamedTuple):
    """When a request holds a slot, in seconds on the simulated clock."""

    starts: float
    ends: float


class UnevenReplica:
    """A replica that starts requests in order of arrival."""

    def __init__(
        self, speed: float, slots: int, phases: bool, rng: random.Random
    ) -> None:
        """Create a replica; it has slow phases if ``phases`` is set."""
        self._speed = speed
        self._slots = slots
        self._rng = rng
        # The times at which its used slots become free.
        self._free: list[float] = []
        # The begins and ends of slow phases, in order, as far as needed.
        self._bounds = [float(0)]
        self._usual_s = PHASE_S * (1 - SLOW_SHARE) / SLOW_SHARE if phases else 0

    def serve(self, now: float, work_s: float) -> Served:
        """Add a request of ``work_s`` seconds at the speed 1."""
        starts = now
        if len(self._free) >= self._slots:
            starts = max(now, heapq.heappop(self._free))
        ends = self._end(starts, work_s / self._speed)
        heapq.heappush(self._free, ends)
        return Served(starts, ends)

    def _end(self, at: float, left_s: float) -> float:
        """Return when ``left_s`` seconds of this replica's work are done."""
        if not self._usual_s:
            return at + left_s
        phase = 0
        while True:
            if phase + 1 >= len(self._bounds):
                self._add_phase()
            until = self._bounds[phase + 1]
            slower = SLOWER if phase % 2 else 1
            if at < until:
                if at + left_s * slower <= until:
                    return at + left_s * slower
                left_s -= (until - at) / slower
                at = until
            phase += 1

    def _add_phase(self) -> None:
        length_s = PHASE_S
        if len(self._bounds) % 2:
            length_s = self._rng.expovariate(1 / self._usual_s)
        self._bounds.append(self._bounds[-1] + length_s)
