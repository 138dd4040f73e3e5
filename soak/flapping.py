"""A replica goes down and up by turns beside more long items than slots."""

import itertools
import random

import gevent

from soak.job_callers import JobCaller
from soak.replica_faults import ReplicaFault
from soak.world import World

PERIOD_S = 0.7
DOWN_S = 0.3
LONG_ITEM = '160 0.05'
# More than all replicas have slots: the others wait for the one that is back.
ITEMS = 14
_numbers = itertools.count()


class Flapping(ReplicaFault):
    """A replica restarts under its id again and again; no item is at fault."""

    duration_factor = 2.5

    def __init__(self, world: World, rng: random.Random) -> None:
        """Draw the replica and the entry that gets the job."""
        super().__init__(world, rng)
        name = f'flap{next(_numbers)}'
        self._caller = JobCaller(world, name, rng.randrange(1 << 16))
        self._ended = False

    def begin(self) -> None:
        """Submit the job and begin to crash the replica."""
        bodies = itertools.repeat(LONG_ITEM, ITEMS)
        self._caller.submit_to(self.entry, list(bodies))
        gevent.spawn(self._flap)

    def end(self) -> None:
        """Let the replica stay up from its next start on."""
        self._ended = True

    def _flap(self) -> None:
        while not (self._ended or self.world.finished):
            self.link.refusing = True
            self.link.reset()
            gevent.sleep(DOWN_S)
            self.world.restart_under_same_id(self.number, moved=False)
            gevent.sleep(PERIOD_S - DOWN_S)
