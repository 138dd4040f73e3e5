"""Jobs are sent again while they are handed over in a slow store."""

import itertools
import random

import gevent

from soak.faults import Fault
from soak.job_callers import JobCaller
from soak.world import World

# Delay of the store's replies, in seconds, just below the shortest timeout of
# an entry: a takeover then takes long enough for further copies to arrive.
SLOW_S = (0.2, 0.24)
JOBS = 4
AGAIN_EVERY_S = 0.12
# Items that outlast the hand-over.
BODIES = ('120 0.05', '120 0.05', '120 0.05')
STOP_BOUND_S = 10
# Seconds in which others have taken the jobs over after the stop.
TAKEOVER_S = 1.5
_numbers = itertools.count()


class ResentJobs(Fault):
    """An entry stops as planned while others get copies of its jobs."""

    duration_factor = 1.5

    def __init__(self, world: World, rng: random.Random) -> None:
        """Draw the entry that stops."""
        super().__init__(world, rng)
        name = f'again{next(_numbers)}'
        self._caller = JobCaller(world, name, rng.randrange(1 << 16))
        self._ended = False
        self._stopping: gevent.Greenlet | None = None

    def begin(self) -> None:
        """Submit jobs, slow the store, stop the entry and send copies.

        Does nothing while another fault keeps the store slow.
        """
        self._ended = bool(self.world.store.response_delay_s)
        if self._ended:
            return
        jobs = [self._caller.submit_to(self.entry, BODIES) for _ in range(JOBS)]
        self.world.store.response_delay_s = self.rng.uniform(*SLOW_S)
        self._stopping = gevent.spawn(self._stop_entry)
        for name in sorted(self.world.entries):
            if name != self.entry:
                gevent.spawn(self._send_again, jobs, name)

    def end(self) -> None:
        """Let the store reply as usual, and send no more copies."""
        if self._ended or self._stopping is None:
            return
        self._stopping.join(STOP_BOUND_S)
        gevent.sleep(TAKEOVER_S)
        self._ended = True
        self.world.store.response_delay_s = 0
        self.world.restart(self.entry)

    def _stop_entry(self) -> None:
        self.world.stop_entry(self.entry)
        self.world.restart(self.entry)

    def _send_again(self, jobs: list[str], entry: str) -> None:
        while not (self._ended or self.world.finished):
            for job_id in jobs:
                gevent.spawn(self._caller.send_again, job_id, entry)
            gevent.sleep(AGAIN_EVERY_S)
