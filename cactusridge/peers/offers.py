"""Slots that other cells offer this entry.

Answers cells that get more than their replicas can bear while others have
room. By counts that are half a second old all entries of a full cell would
send their excess to the same replicas, and in an overload every cell to all
others. So each cell divides its free slots among the entries of the others,
and who is offered none sends nothing there.
"""

import random
from typing import Any, NamedTuple

from cactusridge.clock import Clock

# Slots of a replica that are not offered: its own cell gets more requests
# before the next offer.
KEPT_SLOTS = 2
# To how many entries each free slot is offered: few need any at a time.
OFFERED_TO = 2
# An offer is repeated every half second; three lost in a row end it.
OFFER_LASTS_S = 1.6


def share_offered(
    slots: int,
    online: int,
    entries: int,
    rng: random.Random,
) -> int:
    """Return how many slots of a replica one of ``entries`` is offered.

    Batch requests hold no slot that is not free: they yield. What does
    not divide evenly goes to some of the entries, drawn by ``rng``.
    """
    free = max(0, slots - online - KEPT_SLOTS)
    share = free * OFFERED_TO / max(1, entries)
    return int(share + rng.random())


class CellOffer(NamedTuple):
    """What a cell offers an entry of another one.

    ``slots`` are those that its online requests may hold, by life;
    ``shared`` the replicas of whose requests it is told, so that it can
    run batch there.
    """

    cell: str
    slots: dict[str, int]
    shared: list[str]


def offer_in(raw: list[Any]) -> CellOffer:
    """Return the offer in a datagram.

    Raises ValueError, TypeError or AttributeError for what is none.
    """
    cell, slots, shared = raw
    counts = {str(life): int(count) for life, count in slots.items()}
    return CellOffer(str(cell), counts, [str(life) for life in shared])


class Heard(NamedTuple):
    """An offer and until when it counts."""

    offer: CellOffer
    until: float


class Offers:
    """What the other cells offered last."""

    def __init__(self, clock: Clock) -> None:
        """Start without an offer."""
        self._clock = clock
        self._cells: dict[str, Heard] = {}

    def heard(self, offer: CellOffer) -> None:
        """Take a cell's offer in place of its last one."""
        until = self._clock.monotonic() + OFFER_LASTS_S
        self._cells[offer.cell] = Heard(offer, until)

    def slots(self) -> dict[str, int]:
        """Return the slots that are offered now, by life."""
        found: dict[str, int] = {}
        for offer in self._current():
            found.update(offer.slots)
        return found

    def shared(self) -> set[str]:
        """Return the replicas of other cells that may be used for batch."""
        return {life for offer in self._current() for life in offer.shared}

    def _current(self) -> list[CellOffer]:
        now = self._clock.monotonic()
        for cell, heard in tuple(self._cells.items()):
            if heard.until <= now:
                self._cells.pop(cell)
        return [heard.offer for heard in self._cells.values()]
