"""Faults of entry processes: kill, suspension, planned stop and reload."""

import random

import gevent

from soak.faults import Fault
from soak.world import World

# Seconds for which an entry runs without the store before it is suspended.
# Several short items end in that time.
RUNS_ON_S = 1.5


class Kill(Fault):
    """An entry is killed and later restarted."""

    def begin(self) -> None:
        """Kill the entry."""
        self.world.kill(self.entry)

    def end(self) -> None:
        """Restart the entry."""
        self.world.restart(self.entry)


class KillAll(Fault):
    """All entries are killed at the same time."""

    def __init__(self, world: World, rng: random.Random) -> None:
        """Create a fault of all entries."""
        super().__init__(world, rng)
        self.target = 'all'

    def begin(self) -> None:
        """Kill all entries."""
        for name in self.world.entries:
            self.world.kill(name)

    def end(self) -> None:
        """Restart all entries."""
        for name in self.world.entries:
            self.world.restart(name)


class Pause(Fault):
    """An entry is suspended, often until after its lease expires."""

    duration_factor = 1.8

    def begin(self) -> None:
        """Suspend the entry."""
        self.world.pause(self.entry)

    def end(self) -> None:
        """Resume the entry."""
        self.world.resume(self.entry)


class CutAndPause(Fault):
    """An entry is partitioned from the store and then suspended.

    When it resumes, the store is reachable again. The entry then has
    uncommitted results of jobs that other entries have taken over.
    """

    duration_factor = 1.8

    def begin(self) -> None:
        """Refuse its store connections; suspend it ``RUNS_ON_S`` later."""
        link = self.world.store_links[self.entry]
        link.refusing = True
        link.shut_down_connections()
        gevent.sleep(RUNS_ON_S)
        self.world.pause(self.entry)

    def end(self) -> None:
        """Resume the entry with the store reachable."""
        self.world.store_links[self.entry].refusing = False
        self.world.resume(self.entry)


class PlannedStop(Fault):
    """An entry is stopped gracefully and restarted."""

    planned = True

    def begin(self) -> None:
        """Stop the entry; unless suspended, it has to exit in time."""
        in_time = self.world.stop_entry(self.entry)
        if not (in_time or self.entry in self.world.paused):
            self.world.record.add_violation('stops in time', self.entry)

    def end(self) -> None:
        """Restart the entry."""
        self.world.restart(self.entry)


class Reload(Fault):
    """An entry receives SIGHUP, which makes it reload its settings file."""

    planned = True

    def begin(self) -> None:
        """Send SIGHUP twice if the entry can already handle it."""
        for _ in range(2):
            if self.world.has_loaded(self.entry):
                self.world.reload(self.entry)
