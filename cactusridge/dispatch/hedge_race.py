"""Decides between a silent run and a second run of the same request."""

import enum
from typing import NamedTuple

from cactusridge.dispatch.awaited import Awaited
from cactusridge.dispatch.upstream import UpstreamHead, UpstreamSilent
from cactusridge.errors import CactusridgeError, StopLimit, UpstreamFailed


class Verdict(enum.StrEnum):
    """Why the first run goes on (the first two), or else the second one.

    ``refused`` is any failure of the second run, ``broken`` one of the first.
    """

    refused = 'refused'
    went_on = 'went_on'
    accepted = 'accepted'
    handed_over = 'handed_over'
    broken = 'broken'

    @property
    def keeps_first(self) -> bool:
        """Whether the first run goes on."""
        return self in {Verdict.refused, Verdict.went_on}


class Polled(NamedTuple):
    """What a run has brought so far; neither field is set if it is silent.

    ``failure`` is set if the request cannot go on with this run.
    """

    received: bytes | UpstreamHead | None = None
    failure: CactusridgeError | None = None


def poll(awaited: Awaited, wait_s: float) -> Polled:
    """Wait up to ``wait_s`` seconds for a run; return what it brought.

    Raises StopLimit, which is no failure of the run.
    """
    try:
        received = awaited.receive(wait_s)
    except UpstreamSilent:
        return Polled()
    except StopLimit:
        raise
    except CactusridgeError as exc:
        return Polled(failure=exc)
    if awaited.is_usable(received):
        return Polled(received)
    replica_id = awaited.run.replica.id
    return Polled(received, UpstreamFailed(f'{replica_id} answered a failure'))


def decide(first: Polled, second: Polled, is_overdue: bool) -> Verdict | None:
    """Return which run goes on, None if that is open.

    A first run that brings anything is kept: its work would be lost. The
    second one takes its place if it has accepted the request, or if it had the
    request for so long that both may not go on (``is_overdue``).
    """
    if second.failure is not None:
        return Verdict.refused
    if first.failure is not None:
        return Verdict.broken
    if first.received is not None:
        return Verdict.went_on
    if second.received is not None:
        return Verdict.accepted
    return Verdict.handed_over if is_overdue else None
