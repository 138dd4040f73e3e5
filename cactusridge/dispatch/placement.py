"""Which replica a request goes to, and when it is refused instead.

Answers a load that exceeds the slots for a second or more, with requests
that hold a slot for about a second each. A replica admits in order of
arrival, so what is sent to a full one waits behind what is there.
"""

import abc
import random
from collections.abc import Sequence, Set
from typing import NamedTuple

from cactusridge.fleet.replica import Replica
from cactusridge.peers.load import Load

# Until a service has answered something: seconds a request holds a slot.
FIRST_GUESS_S = 0.5
# Weight of the newest request in the mean time that one holds a slot.
HOLD_WEIGHT = 0.05
# Silence after which a request that may be repeated goes elsewhere: the
# wait up to which its answer is on time, but not less than this many
# seconds, ten times the longest way between availability zones.
MIN_SILENCE_S = 0.2
# And this many times longer behind a queue, which explains the silence:
# to go elsewhere would be to queue again, with the first place lost.
QUEUED_SILENCE = 3
# Replicas of other cells compared where nothing else can be chosen.
FEW = 3


class Choice(NamedTuple):
    """A replica that may be chosen and what is known to be there.

    At one that is not ``near`` that is this entry's own requests.
    """

    replica: Replica
    load: Load
    near: bool = True

    @property
    def queue(self) -> int:
        """How many releases an online request would wait for at least."""
        return max(0, self.load.online - self.replica.slots + 1)


class HoldTime:
    """The mean time a request holds a slot, in seconds."""

    def __init__(self) -> None:
        """Start from a guess."""
        self.mean_s = FIRST_GUESS_S

    def ended(self, held_s: float) -> None:
        """Take in one request that held a slot for ``held_s``."""
        self.mean_s += HOLD_WEIGHT * (held_s - self.mean_s)


def expected_wait_s(choice: Choice, hold_s: float) -> float:
    """Return how long an online request would wait for a slot.

    Batch requests do not count: they yield to it. With ``slots`` in use
    one comes free every ``hold_s / slots`` seconds.
    """
    return choice.queue * hold_s / max(1, choice.replica.slots)


def consider(
    lives: Set[str],
    near: Set[str],
    offered: Set[str],
    rng: random.Random,
) -> Set[str]:
    """Return the replicas to compare: near ones and those offered.

    Without any of them a few at random: by the same little knowledge
    every entry would take the same one.
    """
    known = lives & (near | offered)
    if known:
        return known
    return set(rng.sample(sorted(lives), min(FEW, len(lives))))


def choose(
    choices: Sequence[Choice],
    zone: str,
    rng: random.Random,
) -> Choice:
    """Return the choice with the least online work by its slots.

    Among equals one of the own cell, whose bytes do not cross availability
    zones; then the one with the fewest requests in all, so that batch work
    is disturbed last; then one in ``zone``; then any, so that entries do
    not all pick the same.
    """
    ranked = [
        (
            choice.queue,
            not choice.near,
            choice.load.total / max(1, choice.replica.slots),
            choice.replica.zone != zone,
            rng.random(),
            number,
        )
        for number, choice in enumerate(choices)
    ]
    return choices[min(ranked)[-1]]


def silence_s(load: Load, slots: int, aim_s: float) -> float:
    """Return how long a replica's silence is no reason to go elsewhere.

    ``load`` counts the request itself.
    """
    usual_s = max(MIN_SILENCE_S, aim_s)
    return usual_s * QUEUED_SILENCE if load.online > slots else usual_s


class Placing(abc.ABC):
    """Chooses a replica for an online request."""

    @abc.abstractmethod
    def choose(
        self,
        choices: Sequence[Choice],
        zone: str,
        rng: random.Random,
    ) -> Choice:
        """Return one of ``choices``, of which there is at least one."""


class LeastOnline(Placing):
    """The least online work by slots; see ``choose``."""

    def choose(
        self,
        choices: Sequence[Choice],
        zone: str,
        rng: random.Random,
    ) -> Choice:
        """Return the choice with the least online work."""
        return choose(choices, zone, rng)


class AnyReplica(Placing):
    """Naive: any replica, whatever is there."""

    def choose(
        self,
        choices: Sequence[Choice],
        zone: str,
        rng: random.Random,
    ) -> Choice:
        """Return one of the choices at random."""
        return rng.choice(choices)
