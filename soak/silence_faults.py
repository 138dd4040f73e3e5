"""Short silences of sound replicas, which are no trouble to anybody."""

import random

import gevent

from soak.faults import Fault
from soak.world import World

SILENCE_S = (0.5, 2.0)
# Seconds between two silences of a series.
GAPS_S = (0.1, 1.5)
# Share of the silences that meet all replicas at the same time.
ALL_SHARE = 0.2


class Silent(Fault):
    """A series of silences, each of one replica or of all of them.

    A silent replica accepts requests, sends nothing and works on nothing, and
    then goes on. Requests have to be answered beside it, so the fault counts
    as planned.
    """

    planned = True
    duration_factor = 2.0

    def __init__(self, world: World, rng: random.Random) -> None:
        """Draw the replica that most silences of the series meet."""
        super().__init__(world, rng)
        self._replica = rng.choice(world.replicas)
        self.target = self._replica.id

    def begin(self) -> None:
        """Begin the series."""
        self._series = gevent.spawn(self._repeat)

    def end(self) -> None:
        """End the series; a silence that has begun lasts its time."""
        self._series.kill()

    def _repeat(self) -> None:
        while True:
            seconds = self.rng.uniform(*SILENCE_S)
            meets_all = self.rng.random() < ALL_SHARE
            for replica in (
                self.world.replicas if meets_all else [self._replica]
            ):
                replica.fall_silent(seconds)
            gevent.sleep(seconds + self.rng.uniform(*GAPS_S))
