"""Faults of replicas, and new catalog versions."""

import math
import random
import time

from soak.faults import Fault
from soak.record import ExclusionInterval
from soak.versions import other_version
from soak.world import World
from standins.forwarder import Forwarder

GREY = (0.2, 0.7)
SLOW_X = (2, 8)
# Share of the restarted replicas that listen at another address.
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
        """Return the proxy of the replica, which may have a new address."""
        return self.world.replica_links[self.number]


class Crash(ReplicaFault):
    """A replica crashes and returns at its address under a new id."""

    def begin(self) -> None:
        """Reset the connections and give the replica a new id."""
        old = self.replica.id
        self.link.refusing = True
        self.link.reset()
        self.replica.id = f'{old}+'
        self._old = old

    def end(self) -> None:
        """Accept connections again; replace the old list entry."""
        self.link.refusing = False
        self.world.store.remove(('servers', '', self._old))
        self.world.register(self.replica, self.link.address)


class Replaced(Crash):
    """A replica is replaced by one of the other software version."""

    def begin(self) -> None:
        """Reset the connections; whatever starts next is the other version."""
        super().begin()
        self.replica.version = other_version(self.replica.version)


class Restart(ReplicaFault):
    """A replica crashes and restarts under the same id."""

    def begin(self) -> None:
        """Reset the connections and refuse new ones."""
        self.link.refusing = True
        self.link.reset()

    def end(self) -> None:
        """Start a new incarnation, sometimes at another address."""
        moved = self.rng.random() < MOVED_SHARE
        self.world.restart_under_same_id(self.number, moved)


class BreaksOff(ReplicaFault):
    """Some streams are closed in the middle of an event."""

    def begin(self) -> None:
        """Let the replica close the next streams early."""
        self.replica.close_after_events = [
            self.rng.randint(1, 6) for _ in range(4)
        ]

    def end(self) -> None:
        """Let the replica complete its streams again."""
        self.replica.close_after_events = []


class Crossed(ReplicaFault):
    """Some responses have the id of another request."""

    def begin(self) -> None:
        """Let the next responses have a wrong request id."""
        self.replica.wrong_request_ids = ['crossed', 'crossed', 'crossed']

    def end(self) -> None:
        """Return correct responses again."""
        self.replica.wrong_request_ids = []


class Grey(ReplicaFault):
    """A share of the requests fails or hangs."""

    def begin(self) -> None:
        """Draw the kind of failure and the share of requests."""
        self.replica.grey_mode = self.rng.choice(('errors', 'hang'))
        self.replica.grey = self.rng.uniform(*GREY)

    def end(self) -> None:
        """Stop failing requests."""
        self.replica.grey = 0


class Slow(ReplicaFault):
    """Events take several times as long as requested."""

    def begin(self) -> None:
        """Draw the slowdown factor."""
        self.replica.slow_factor = self.rng.uniform(*SLOW_X)

    def end(self) -> None:
        """Return to normal speed."""
        self.replica.slow_factor = 1


class Leaving(ReplicaFault):
    """A replica is listed as draining but serves whatever it receives."""

    planned = True

    def begin(self) -> None:
        """List the replica as draining; it may receive no new requests."""
        self.world.register(self.replica, self.link.address, 'draining')
        exclusion = ExclusionInterval(
            self.replica.life,
            time.monotonic(),
            math.inf,
            'leaving gets nothing',
        )
        self.world.record.exclusions.append(exclusion)

    def end(self) -> None:
        """Register the replica again under a new id."""
        old = self.replica.id
        self.replica.id = f'{old}+'
        self.world.store.remove(('servers', '', old))
        self.world.register(self.replica, self.link.address)


class Reconfigure(Fault):
    """The operator writes two new catalog versions."""

    planned = True

    def begin(self) -> None:
        """Write the first new version."""
        self.target = f'v{self.world.version + 1}'
        self.world.reconfigure()

    def end(self) -> None:
        """Write the second new version."""
        self.world.reconfigure()
