"""What the choice of a replica looks at."""

from typing import NamedTuple


class Candidate(NamedTuple):
    """A replica as this entry sees it now.

    ``own`` counts this entry's requests in flight there, ``reported``
    all requests at its last report, ``own_then`` this entry's at that
    time, ``age_s`` the seconds since. ``limit`` is its concurrency,
    ``sharers`` the number of entries that send to it.
    """

    key: str
    zone: str
    own: int = 0
    reported: int = 0
    own_then: int = 0
    age_s: float = 0
    limit: int = 1
    wait_s: float = 0
    sharers: int = 1


class PickRequest(NamedTuple):
    """The request to place: where the entry is, what the prompt begins with."""

    zone: str
    prefix: bytes = b''


REPORT_HALF_LIFE_S = 0.3


def load_of(candidate: Candidate) -> float:
    """Return the load as a share of the replica's limit.

    This entry's own requests are always known. The others' are as the
    last report has them while it is fresh; as it ages they are taken to
    be like this entry's own. Else every entry would go on choosing the
    replica whose report happened to be low.
    """
    then = max(0, candidate.reported - candidate.own_then)
    like_own = candidate.own * (candidate.sharers - 1)
    trust = 0.5 ** (candidate.age_s / REPORT_HALF_LIFE_S)
    others = then * trust + like_own * (1 - trust)
    return (candidate.own + others) / max(1, candidate.limit)
