"""An entry restarts in a slow store, and callers submit jobs at once."""

import itertools
import random
import time

import gevent

from soak.faults import Fault
from soak.job_callers import JobCaller
from soak.world import World

# Delay of the store's replies, in seconds, just below the shortest timeout of
# an entry. Until the first one its peers may have configured it.
SLOW_S = (0.2, 0.24)
JOBS = 4
GAP_S = 0.02
# Few and short items, which leave the slots to the other jobs.
BODIES = ('3 0.01', '3 0.01')
CONFIGURED_BOUND_S = 3
CONFIGURED = '"settings_applied"'
POLL_S = 0.005
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
        known = self._configured()
        self.world.kill(self.entry)
        self.world.restart(self.entry)
        self._await_configuration(known)
        for _ in range(JOBS):
            gevent.spawn(self._caller.submit_to, self.entry, BODIES)
            gevent.sleep(self.rng.uniform(0, 2 * GAP_S))

    def end(self) -> None:
        """Let the store reply as usual."""
        self.world.store.response_delay_s = 0

    def _configured(self) -> int:
        """Return how often the entry has put a configuration into force."""
        return self.world.entries[self.entry].log.read_text().count(CONFIGURED)

    def _await_configuration(self, known: int) -> None:
        """Wait until the entry has one more than the ``known`` ones."""
        until = time.monotonic() + CONFIGURED_BOUND_S
        while time.monotonic() < until and self._configured() == known:
            gevent.sleep(POLL_S)
