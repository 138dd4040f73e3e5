"""Which replica a request goes to, and when it is refused instead.

Answers a load that exceeds the slots for a second or more, with requests
that hold a slot for about a second each. A replica admits in order of
arrival, so what is sent to a full one waits behind what is there.
"""

import abc
import random
from collections.abc import Sequence
from typing import NamedTuple, TypeVar

from cactusridge.dispatch.load import Load
from cactusridge.dispatch.replica import Replica

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
# Replicas compared when the counts of other entries are not fresh.
FEW = 3


Considered = TypeVar('Considered')


class Choice(NamedTuple):
    """A replica that may be chosen and what is there now."""

    replica: Replica
    load: Load


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
    ahead = choice.load.online - choice.replica.slots + 1
    return max(0, ahead) * hold_s / max(1, choice.replica.slots)


def consider(
    choices: Sequence[Considered],
    fresh: bool,
    rng: random.Random,
) -> Sequence[Considered]:
    """Return the choices to compare, given how fresh the counts are.

    With counts that are a quarter of a second old every entry would
    take the same least loaded replica until it has heard of the others;
    the least of a few at random spreads them.
    """
    if fresh or len(choices) <= FEW:
        return choices
    return rng.sample(choices, FEW)


def choose(
    choices: Sequence[Choice],
    zone: str,
    rng: random.Random,
) -> Choice:
    """Return the choice with the least online work by its slots.

    Among equals the one with the fewest requests in all, so that batch
    work is disturbed last; then one in ``zone``, since bytes between
    availability zones cost; then any, so that entries do not all pick
    the same.
    """
    ranked = [
        (
            max(0, choice.load.online - choice.replica.slots + 1),
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
