"""That a request was at work on a replica when that ended."""

import enum
from types import MappingProxyType
from typing import NamedTuple

# What it takes to be held back, in parts of a strike: a request that
# crashes replicas has ended three.
HELD_AT = 6


class Stage(enum.StrEnum):
    """How far a run had come when its replica broke off."""

    # It may still have waited there for a slot.
    queued = 'queued'
    # It had begun, and had brought nothing yet.
    begun = 'begun'
    # It had brought some of its output.
    answering = 'answering'


# One that has begun and brings nothing is the likeliest cause; the others
# mostly share the replica with it.
POINTS = MappingProxyType(
    {Stage.queued: 1, Stage.begun: 2, Stage.answering: 1},
)


# A fingerprint and the life of a replica.
Pair = tuple[str, str]


class Strike(NamedTuple):
    """One end of a replica under a request.

    ``life`` is the key of one life of the replica; the same life counts
    once for a request. ``at`` is when it was noted, in Unix seconds.
    """

    fingerprint: str
    life: str
    stage: Stage
    at: float

    @property
    def pair(self) -> Pair:
        """What tells it from other strikes."""
        return self.fingerprint, self.life

    @property
    def points(self) -> int:
        """How much it speaks against the request."""
        return POINTS[self.stage]
