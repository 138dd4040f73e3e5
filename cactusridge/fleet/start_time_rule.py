"""Decides whether an entry without a start time identifies a replica.

Some platforms list replicas without start times; their entries are usable.
Where most replicas have a start time, an entry without one is taken for the
work of another writer and is ignored.
"""

from cactusridge.fleet.replica import UNKNOWN_START


def most_have_start_time(with_start_time: int, total: int) -> bool:
    """Return whether most of ``total`` replicas have a start time."""
    return 2 * with_start_time > total


def is_usable_entry(
    started_at_ms: int, newest: int, most_have_start: bool
) -> bool:
    """Return whether an entry with start time ``started_at_ms`` is usable.

    ``newest`` is the newest start time known for the id, or UNKNOWN_START if
    none of its entries had one. ``most_have_start`` is whether most replicas
    have a start time.
    """
    return started_at_ms != UNKNOWN_START or (
        newest == UNKNOWN_START and not most_have_start
    )
