"""Whether an entry that does not tell when its life began names a replica.

Guards against entries of another writer while replicas tell their lives,
and keeps the replicas of a platform whose entries do not tell them.
"""

from cactusridge.fleet.replica import NOT_TOLD


def lives_told(telling: int, known: int) -> bool:
    """Tell whether most of the ``known`` replicas tell their lives."""
    return 2 * telling > known


def names_replica(born: int, newest: int, told: bool) -> bool:
    """Tell whether an entry with ``born`` names a replica to use.

    ``newest`` is the latest start that its id has told, NOT_TOLD if it
    told none; ``told`` is whether most replicas tell theirs.
    """
    return born != NOT_TOLD or (newest == NOT_TOLD and not told)
