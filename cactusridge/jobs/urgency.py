"""Policies for the order in which waiting batch items start.

For tens of seconds there may be more items than the slots can complete by
their due times, because replicas fail or online requests take the slots. If
items were ordered by due time alone, items that are already late would go
before items that can still be on time, which would make those late too.
"""

import abc
import enum
from typing import NamedTuple

# An item starts before all others if it would be given up within this many of
# its remaining run times, since every item has to complete, late or not.
RESERVE_RUNS = 2
# An item also starts before all others if it would be given up within this many
# seconds, a time in which several other items may have to end first.
RESERVE_S = 8.0


class ItemTimes(NamedTuple):
    """Time limits of an item and its remaining run time, all in seconds.

    ``due_s`` and ``give_up_s`` count from now and are negative once the
    due time or the time to give up has passed.
    """

    due_s: float
    give_up_s: float
    remaining_s: float


class UrgencyClass(enum.IntEnum):
    """Urgency classes of items; the lowest value starts first."""

    expiring = 0
    on_time = 1
    late = 2


class Urgency(abc.ABC):
    """Ranks waiting items; the item with the lowest rank starts first."""

    @abc.abstractmethod
    def rank(self, times: ItemTimes) -> tuple[UrgencyClass, float]:
        """Return the rank of an item in the queue."""


class DueFirst(Urgency):
    """Baseline policy: orders items by due time, even if already late."""

    def rank(self, times: ItemTimes) -> tuple[UrgencyClass, float]:
        """Return a rank that depends on the due time alone."""
        return UrgencyClass.on_time, times.due_s


class OnTimeFirst(Urgency):
    """Starts items that can be on time before late ones, by due time.

    Items that would soon be given up start before all others, so that a
    late item does not wait until it is given up.
    """

    def rank(self, times: ItemTimes) -> tuple[UrgencyClass, float]:
        """Return the urgency class and, within the class, the due time."""
        reserve_s = max(RESERVE_S, RESERVE_RUNS * times.remaining_s)
        if times.give_up_s < reserve_s:
            return UrgencyClass.expiring, times.due_s
        if times.due_s < times.remaining_s:
            return UrgencyClass.late, times.due_s
        return UrgencyClass.on_time, times.due_s
