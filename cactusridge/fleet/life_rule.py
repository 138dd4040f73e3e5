"""Decides whether an entry without a start time identifies a replica.

Some platforms list replicas without start times; their entries are usable.
Where most replicas have a start time, an entry without one is taken for the
work of another writer and is ignored.
"""

from cactusridge.fleet.replica import NOT_TOLD


def lives_told(telling: int, known: int) -> bool:
    """Return whether most of the ``known`` replicas have a start time."""
    return 2 * telling > known


def names_replica(born: int, newest: int, told: bool) -> bool:
    """Return whether an entry with start time ``born`` is usable.

    ``newest`` is the newest start time known for the id, or NOT_TOLD if none
    of its entries had one. ``told`` is whether most replicas have a start
    time.
    """
    return born != NOT_TOLD or (newest == NOT_TOLD and not told)
