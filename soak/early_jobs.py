"""An entry restarts in a slow store, and callers submit jobs at once."""

import contextlib
import itertools
import random

import gevent

from soak.faults import Fault
from soak.job_callers import JobCaller
from soak.world import World
from standins.waiting import NotReady, wait_for

# Delay of the store's replies, in seconds, up to the shortest timeout of an
# entry. Until the first one the entry may be configured by its peers.
SLOW_S = (0.1, 0.24)
JOBS = 4
GAP_S = 0.04
# Few and short items, which leave the slots to the other jobs.
BODIES = ('3 0.01', '3 0.01')
LISTEN_BOUND_S = 3
_numbers = itertools.count()


class EarlyJobs(Fault):
    """An entry starts again while the store is slow, and gets jobs at once."""

    def __init__(self, world: World, rng: random.Random) -> None:
        """Draw the entry and the jobs."""
        super().__init__(world, rng)
        self._caller = JobCaller(
            world, f'early{next(_numbers)}', rng.randrange(1 << 16)
        )

    def begin(self) -> None:
        """Slow the store, restart the entry and submit jobs to it."""
        self.world.store.response_delay_s = self.rng.uniform(*SLOW_S)
        self.world.kill(self.entry)
        self.world.restart(self.entry)
        log = self.world.entries[self.entry].log
        listening = log.read_text().count('"listening"')
        with contextlib.suppress(NotReady):
            wait_for(
                'it listens',
                lambda: log.read_text().count('"listening"') > listening,
                LISTEN_BOUND_S,
            )
        for _ in range(JOBS):
            gevent.spawn(self._caller.submit_to, self.entry, BODIES)
            gevent.sleep(self.rng.uniform(0, 2 * GAP_S))

    def end(self) -> None:
        """Let the store reply as usual."""
        self.world.store.response_delay_s = 0
