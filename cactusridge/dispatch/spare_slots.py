"""Whether a replica has room for a request that has waited at its entry."""

from cactusridge.dispatch.placement import Choice

# Of so many slots of a replica, waiting requests leave one free. Counts of
# peers are some milliseconds old: without spare slots a third of the waiting
# requests meet a replica whose last slot has just been taken, and fewer
# requests that are on time find a free slot when the next burst begins. A
# replica of fewer slots has no spare one, since it would stay empty too long.
SLOTS_PER_SPARE = 4


def has_spare_slot(choice: Choice) -> bool:
    """Return whether a request that has waited may start at a replica.

    Batch requests are not counted, since they are preempted by online ones.
    """
    slots = choice.replica.slots
    return choice.load.online < slots - slots // SLOTS_PER_SPARE
