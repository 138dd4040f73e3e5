"""Decides whether a request that cannot start now is refused or waits."""

import enum
from typing import NamedTuple

from cactusridge.queueing.pace import Pace

# A caller with less than this share of the route's timeout left has been
# refused before, or has set a shorter deadline and is treated alike: the
# shortest delay that AfterBurst asks for takes 0.165 of the timeout, and
# reading a request that comes for the first time takes less than a tenth.
FIRST_ATTEMPT_SHARE = 0.9


class Decision(enum.StrEnum):
    """What happens to a request that cannot start now."""

    # Refused with a Retry-After: the caller has time for a second attempt.
    return_later = 'return_later'
    # Waits at this entry.
    wait = 'wait'
    # Refused, because it cannot be served before its deadline.
    unservable = 'unservable'


class Prospect(NamedTuple):
    """The times of a request in seconds, and its place among those waiting.

    ``left_s`` is the time to its deadline, ``timeout_s`` the timeout of its
    route, ``wait_s`` the expected wait at the best replica, and ``place`` the
    number of requests that have their turn before it.
    """

    left_s: float
    timeout_s: float
    wait_s: float
    place: int
    pace: Pace


def decide(prospect: Prospect) -> Decision:
    """Return what happens to a request that cannot start now."""
    if prospect.left_s >= FIRST_ATTEMPT_SHARE * prospect.timeout_s:
        return Decision.return_later
    served_in_s = prospect.pace.served_in_s(prospect.place, prospect.wait_s)
    if served_in_s <= prospect.left_s:
        return Decision.wait
    return Decision.unservable
