"""Replicas that crash, fail, slow down or leave; configurations."""

import math
import random
import time

from soak.faults import Fault
from soak.record import Withheld
from soak.world import World
from standins.forwarder import Forwarder

GREY = (0.2, 0.7)
SLOW_X = (2, 8)
# Of the replicas that start again, so many listen at another address.
MOVED_SHARE = 0.3


class ReplicaFault(Fault):
    """A fault of one replica."""

    def __init__(self, world: World, rng: random.Random) -> None:
        """Draw the replica."""
        super().__init__(world, rng)
        self.number = rng.randrange(len(world.replicas))
        self.replica = world.replicas[self.number]
        self.target = f'replica {self.number}'

    @property
    def link(self) -> Forwarder:
        """Return the way to the replica, which may have moved."""
        return self.world.replica_links[self.number]


class Crash(ReplicaFault):
    """A replica crashes; another life of it listens at its address."""

    def begin(self) -> None:
        """Break off what it does; it forgets who it was."""
        old = self.replica.id
        self.link.refusing = True
        self.link.reset()
        self.replica.id = f'{old}+'
        self._old = old

    def end(self) -> None:
        """Come back under the new name; the old entry goes."""
        self.link.refusing = False
        self.world.store.remove(('servers', '', self._old))
        self.world.register(self.replica, self.link.address)


class Restart(ReplicaFault):
    """A replica crashes and starts again under the id that it had."""

    def begin(self) -> None:
        """Break off what it does."""
        self.link.refusing = True
        self.link.reset()

    def end(self) -> None:
        """Begin a life that knows nothing of the one before."""
        moved = self.rng.random() < MOVED_SHARE
        self.world.restart_under_same_id(self.number, moved)


class BreaksOff(ReplicaFault):
    """Some streams are broken off in the middle of an event."""

    def begin(self) -> None:
        """Break the next ones off."""
        self.replica.cut_after = [self.rng.randint(1, 6) for _ in range(4)]

    def end(self) -> None:
        """Break no more off."""
        self.replica.cut_after = []


class Crossed(ReplicaFault):
    """Some answers are those of other requests."""

    def begin(self) -> None:
        """Answer the next ones wrongly."""
        self.replica.spoil = ['crossed', 'crossed', 'crossed']

    def end(self) -> None:
        """Answer well again."""
        self.replica.spoil = []


class Grey(ReplicaFault):
    """A share of the requests fails, or hangs."""

    def begin(self) -> None:
        """Fail."""
        self.replica.grey_how = self.rng.choice(('errors', 'hang'))
        self.replica.grey = self.rng.uniform(*GREY)

    def end(self) -> None:
        """Be well."""
        self.replica.grey = 0


class Slow(ReplicaFault):
    """Everything takes several times as long."""

    def begin(self) -> None:
        """Slow down."""
        self.replica.slow_x = self.rng.uniform(*SLOW_X)

    def end(self) -> None:
        """Be as fast as before."""
        self.replica.slow_x = 1


class Leaving(ReplicaFault):
    """A replica is listed as leaving and serves what comes all the same."""

    planned = True

    def begin(self) -> None:
        """Say that it leaves."""
        self.world.register(self.replica, self.link.address, 'draining')
        withheld = Withheld(
            self.replica.life,
            time.monotonic(),
            math.inf,
            'leaving gets nothing',
        )
        self.world.record.withheld.append(withheld)

    def end(self) -> None:
        """Come back as a new life of the replica."""
        old = self.replica.id
        self.replica.id = f'{old}+'
        self.world.store.remove(('servers', '', old))
        self.world.register(self.replica, self.link.address)


class Reconfigure(Fault):
    """The operator puts new versions in force, two in a row."""

    planned = True

    def begin(self) -> None:
        """Write the first."""
        self.target = f'v{self.world.version + 1}'
        self.world.reconfigure()

    def end(self) -> None:
        """Write the second."""
        self.world.reconfigure()
