"""Which waiting item of a batch job starts first.

Answers more items than the slots can do before they are due, for tens of
seconds: fewer replicas, or online requests in their place. By due time
alone, the items that are late already go before those that could still
be on time, and from then on all are late.
"""

import abc
import enum
from typing import NamedTuple

# An item that would be given up within this many of its own run times is
# started before all others: it must be done, late or not.
RESERVE_RUNS = 2
# And within this many seconds, whatever its run time, in which several
# other items may have to end first.
RESERVE_S = 8.0


class ItemTimes(NamedTuple):
    """How an item stands, in seconds from now, and its work in seconds."""

    due_s: float
    give_up_s: float
    left_s: float


class Standing(enum.IntEnum):
    """The ranks of items, the first to start first."""

    expiring = 0
    on_time = 1
    late = 2


class Urgency(abc.ABC):
    """Ranks waiting items; the lowest starts first."""

    @abc.abstractmethod
    def rank(self, times: ItemTimes) -> tuple[Standing, float]:
        """Return the place of an item in the line."""


class DueFirst(Urgency):
    """Naive: by due time, whether it can be met or not."""

    def rank(self, times: ItemTimes) -> tuple[Standing, float]:
        """Return the due time."""
        return Standing.on_time, times.due_s


class OnTimeFirst(Urgency):
    """What can be on time by due time, then what is late.

    No item waits for ever: what would soon be given up goes first.
    """

    def rank(self, times: ItemTimes) -> tuple[Standing, float]:
        """Return the standing, and the due time within it."""
        reserve_s = max(RESERVE_S, RESERVE_RUNS * times.left_s)
        if times.give_up_s < reserve_s:
            return Standing.expiring, times.due_s
        if times.due_s < times.left_s:
            return Standing.late, times.due_s
        return Standing.on_time, times.due_s
