"""Strikes: records of a replica's crash under a request."""

import enum
from types import MappingProxyType
from typing import NamedTuple

# The sum of points at which a request is quarantined: three strikes in stage
# ``started``, that is, three crashed replicas.
QUARANTINE_POINTS = 6


class Stage(enum.StrEnum):
    """How far a request had progressed when its replica broke off."""

    # The request may still have been waiting for a slot of the replica.
    queued = 'queued'
    # The request had started and had produced no output yet.
    started = 'begun'
    # The request had produced part of its output.
    answering = 'answering'


# A request that has started without output is the likeliest cause of a crash.
# Requests in other stages usually only shared the replica with it.
STAGE_POINTS = MappingProxyType(
    {Stage.queued: 1, Stage.started: 2, Stage.answering: 1},
)


# A fingerprint and the incarnation key of a replica.
StrikePair = tuple[str, str]


class Strike(NamedTuple):
    """A recorded crash of a replica under a request or a part of a prompt.

    ``fingerprint`` is that of the request, or the key of the part. ``life`` is
    the incarnation key of the replica; each incarnation counts once per
    fingerprint. ``at`` is when the strike was recorded, in Unix seconds. For a
    part, ``request`` is the fingerprint of the request whose prompt had it, and
    ``position`` its place there, from 0 on; parts are the more specific the
    later they come.
    """

    fingerprint: str
    life: str
    stage: Stage
    at: float
    request: str = ''
    position: int = 0

    @property
    def pair(self) -> StrikePair:
        """The fingerprint and incarnation key that identify the strike."""
        return self.fingerprint, self.life

    @property
    def points(self) -> int:
        """The weight of the strike as evidence against the request."""
        return STAGE_POINTS[self.stage]
