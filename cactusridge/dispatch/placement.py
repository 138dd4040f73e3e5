"""Chooses the replica for an online request and estimates its wait.

The rules deal with loads that exceed the slots of the replicas for a
second or more, and with requests that hold a slot for about a second each.
A replica starts requests in order of arrival, so a request sent to a full
replica waits behind those already there.
"""

import abc
import random
from collections.abc import Sequence, Set
from typing import NamedTuple

from cactusridge.fleet.replica import Replica
from cactusridge.peers.load import Load

# Assumed time in seconds that a request holds a slot, until a service has
# completed its first request.
INITIAL_SLOT_TIME_S = 0.5
# Weight of the newest request in the moving average of slot times.
SLOT_TIME_WEIGHT = 0.05
# A repeatable request is retried at another replica when its replica has
# been silent for the target latency, but not before this many seconds: ten
# times the longest latency between availability zones.
MIN_SILENCE_S = 0.2
# Factor for that silence at a replica with a queue. The queue explains the
# silence, and after a retry the request would join the end of another queue.
QUEUED_SILENCE_FACTOR = 3
# Number of replicas of remote cells to compare when neither local nor
# offered replicas can be chosen.
RANDOM_CANDIDATES = 3


class Choice(NamedTuple):
    """A replica that may be chosen, with its load.

    ``local`` is True for a replica in the local cell. The load of a replica
    in a remote cell may include only this entry's own requests. ``speed`` is
    relative to the service, 1 for a usual replica.
    """

    replica: Replica
    load: Load
    local: bool = True
    speed: float = 1

    @property
    def queue(self) -> int:
        """The least number of slots to become free before a request starts."""
        return max(0, self.load.online - self.replica.slots + 1)

    @property
    def usual_slots(self) -> float:
        """The number of slots of a usual replica that do the same work."""
        return max(1, self.replica.slots) * self.speed


class SlotTime:
    """The moving average of the time a request holds a slot, in seconds."""

    def __init__(self) -> None:
        """Start from the assumed time."""
        self.mean_s = INITIAL_SLOT_TIME_S

    def add(self, held_s: float) -> None:
        """Add a request that held a slot for ``held_s`` seconds."""
        self.mean_s += SLOT_TIME_WEIGHT * (held_s - self.mean_s)


def expected_wait_s(choice: Choice, slot_s: float) -> float:
    """Return the expected wait of an online request for a slot, in seconds.

    Batch requests are not counted, since they are preempted by online
    ones. When all slots are in use, one becomes free every
    ``slot_s / slots`` seconds, where ``slot_s`` is the time for which a
    request holds a slot of this replica.
    """
    return choice.queue * slot_s / max(1, choice.replica.slots)


def select_candidates(
    incarnations: Set[str],
    local: Set[str],
    offered: Set[str],
    rng: random.Random,
) -> Set[str]:
    """Return the incarnations of replicas to compare.

    These are the replicas in ``incarnations`` that belong to the local cell
    (``local``) or that remote cells offer (``offered``). If there are none,
    RANDOM_CANDIDATES replicas are drawn at random. Otherwise all entries,
    which share the same scarce information, would choose the same replica.
    """
    known = incarnations & (local | offered)
    if known:
        return known
    return set(
        rng.sample(
            sorted(incarnations), min(RANDOM_CANDIDATES, len(incarnations))
        )
    )


def choose_least_online(
    choices: Sequence[Choice],
    zone: str,
    rng: random.Random,
) -> Choice:
    """Return the choice with the shortest expected wait.

    Ties are broken in this order: a replica in the local cell, whose
    traffic does not cross availability zones; the fewest requests per
    slot, online and batch, relative to the speed, so that batch work is
    preempted only if necessary; a replica in ``zone``; a random one, so
    that entries do not all choose the same replica.
    """
    ranked = [
        (
            choice.queue / choice.usual_slots,
            not choice.local,
            choice.load.total / choice.usual_slots,
            choice.replica.zone != zone,
            rng.random(),
            number,
        )
        for number, choice in enumerate(choices)
    ]
    return choices[min(ranked)[-1]]


def tolerated_silence_s(
    load: Load, slots: int, target_latency_s: float, speed: float = 1
) -> float:
    """Return the silence to tolerate before a retry, in seconds.

    ``load`` includes the request itself; ``target_latency_s`` is the target
    latency in seconds. The silence is longer at a replica of a lower ``speed``
    than usual, but not shorter at a faster one: a retry that was not needed
    costs more than one that comes late.
    """
    usual_s = max(MIN_SILENCE_S, target_latency_s) / min(1, speed)
    return usual_s * QUEUED_SILENCE_FACTOR if load.online > slots else usual_s


class Placing(abc.ABC):
    """Chooses a replica for an online request."""

    @abc.abstractmethod
    def choose(
        self,
        choices: Sequence[Choice],
        zone: str,
        rng: random.Random,
    ) -> Choice:
        """Return one of ``choices``, which is not empty."""


class LeastOnline(Placing):
    """Chooses the replica by ``choose_least_online``."""

    def choose(
        self,
        choices: Sequence[Choice],
        zone: str,
        rng: random.Random,
    ) -> Choice:
        """Return the choice with the shortest expected wait."""
        return choose_least_online(choices, zone, rng)


class AnyReplica(Placing):
    """Naive policy: chooses a random replica regardless of its load."""

    def choose(
        self,
        choices: Sequence[Choice],
        zone: str,
        rng: random.Random,
    ) -> Choice:
        """Return one of the choices at random."""
        return rng.choice(choices)
