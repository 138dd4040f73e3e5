"""The inputs to the selection of a replica."""

from typing import NamedTuple


class Candidate(NamedTuple):
    """The state of a replica as known to this entry.

    ``own`` counts this entry's in-flight requests there. ``reported`` counts
    all online requests in the replica's last report, ``own_at_report`` those of
    this entry at that time, and ``age_s`` is the age of the report in seconds.
    ``limit`` is the concurrency of the replica, ``wait_s`` the waiting time
    in that report in seconds, and ``sharers`` the number of entries that send
    requests to it.
    """

    key: str
    zone: str
    own: int = 0
    reported: int = 0
    own_at_report: int = 0
    age_s: float = 0
    limit: int = 1
    wait_s: float = 0
    sharers: int = 1


class PickRequest(NamedTuple):
    """The request to place: the entry's zone and the start of the prompt."""

    zone: str
    prefix: bytes = b''


REPORT_HALF_LIFE_S = 0.3


def load_of(candidate: Candidate) -> float:
    """Return the load as a share of the replica's concurrency limit.

    The number of this entry's own requests is always exact. The last report
    provides the number of all other requests while it is fresh. As the report
    ages, each other entry is assumed to have as many requests as this one.
    Otherwise all entries would keep choosing a replica whose last report
    happened to be low.
    """
    reported_others = max(0, candidate.reported - candidate.own_at_report)
    estimated_others = candidate.own * (candidate.sharers - 1)
    freshness = 0.5 ** (candidate.age_s / REPORT_HALF_LIFE_S)
    others = reported_others * freshness + estimated_others * (1 - freshness)
    return (candidate.own + others) / max(1, candidate.limit)
