"""Signals to entries: killed, suspended, stopped, told to read settings."""

import random
import signal

import gevent

from soak.faults import Fault
from soak.world import World

# How long an entry works without the store before it is suspended:
# several short items end meanwhile.
RUNS_ON_S = 1.5


class Kill(Fault):
    """An entry is killed and comes back."""

    def begin(self) -> None:
        """Kill it."""
        self.world.kill(self.entry)

    def end(self) -> None:
        """Start it again."""
        self.world.restart(self.entry)


class KillAll(Fault):
    """Every entry is killed at once."""

    def __init__(self, world: World, rng: random.Random) -> None:
        """Strike all."""
        super().__init__(world, rng)
        self.target = 'all'

    def begin(self) -> None:
        """Kill them."""
        for name in self.world.entries:
            self.world.kill(name)

    def end(self) -> None:
        """Start them again."""
        for name in self.world.entries:
            self.world.restart(name)


class Pause(Fault):
    """An entry stands still, often past its lease."""

    lasts_x = 1.8

    def begin(self) -> None:
        """Suspend it."""
        self.world.pause(self.entry)

    def end(self) -> None:
        """Let it go on."""
        self.world.resume(self.entry)


class CutAndPause(Fault):
    """An entry loses the store, runs on, is suspended, and has it back.

    It wakes with results that it could not commit, of jobs that others
    have taken over meanwhile.
    """

    lasts_x = 1.8

    def begin(self) -> None:
        """Cut its way to the store; suspend it a while later."""
        link = self.world.store_links[self.entry]
        link.refusing = True
        link.cut()
        gevent.sleep(RUNS_ON_S)
        self.world.pause(self.entry)

    def end(self) -> None:
        """Let it go on, with the store."""
        self.world.store_links[self.entry].refusing = False
        self.world.resume(self.entry)


class PlannedStop(Fault):
    """An entry is stopped as planned and starts again."""

    planned = True

    def begin(self) -> None:
        """Stop it; it has to end by itself unless it is suspended."""
        in_time = self.world.stop_entry(self.entry)
        if not (in_time or self.entry in self.world.paused):
            self.world.record.broke('stops in time', self.entry)

    def end(self) -> None:
        """Start it again."""
        self.world.restart(self.entry)


class Reload(Fault):
    """An entry is told that its settings file has changed."""

    planned = True

    def begin(self) -> None:
        """Tell it twice, if it has begun to run."""
        for _ in range(2):
            if self.world.loads(self.entry):
                self.world.entries[self.entry].send(signal.SIGHUP)
