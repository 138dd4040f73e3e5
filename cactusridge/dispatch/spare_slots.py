"""Whether a replica has room for a request that has waited at its entry."""

from cactusridge.dispatch.placement import Choice

# Slots of a replica that waiting requests leave free. Counts of peers are some
# milliseconds old: without a spare slot, a third of the waiting requests meet
# a replica whose last slot has just been taken, and requests on time wait
# behind them.
SPARE_SLOTS = 1
# A replica has a spare slot for each of so many slots, up to SPARE_SLOTS.
# Smaller replicas have none, since they would stay empty too long.
SLOTS_PER_SPARE = 4


def has_spare_slot(choice: Choice) -> bool:
    """Return whether a request that has waited may start at a replica.

    Batch requests are not counted, since they are preempted by online ones.
    """
    slots = choice.replica.slots
    spare = min(SPARE_SLOTS, slots // SLOTS_PER_SPARE)
    return choice.load.online < slots - spare
