"""Slots at remote replicas that other cells offer to this entry.

A cell can receive more requests than its replicas can take while other cells
have free slots. Remote counts are half a second old: if entries relied on
them, all entries of a full cell would send their excess requests to the same
replicas, and in an overload every cell would send to every other cell. Each
cell therefore divides its free slots among the remote entries, and an entry
without an offer sends nothing there.
"""

import random
from typing import Any, NamedTuple

from cactusridge.clock import Clock

# Free slots of a replica that are not offered, because its own cell receives
# further requests before the next offer.
RESERVED_SLOTS = 2
# Number of entries to which each free slot is offered; only few entries need
# one at a time.
ENTRIES_PER_SLOT = 2
# Lifetime of an offer in seconds. Offers are repeated every half second; an
# offer expires after three lost repeats.
OFFER_LIFETIME_S = 1.6


def slots_to_offer(
    slots: int,
    online: int,
    entries: int,
    rng: random.Random,
) -> int:
    """Return how many of a replica's slots to offer to one remote entry.

    Batch requests do not reduce the free slots, because online requests
    preempt them. ``rng`` decides randomly about the remainder of the division
    among ``entries``.
    """
    free = max(0, slots - online - RESERVED_SLOTS)
    share = free * ENTRIES_PER_SLOT / max(1, entries)
    return int(share + rng.random())


class CellOffer(NamedTuple):
    """The offer of a cell to an entry of another cell.

    ``slots`` maps incarnation keys to the number of online requests that the
    entry may have there. ``shared`` has the incarnation keys of the replicas
    whose counts the entry receives, so that it can run batch there.
    """

    cell: str
    slots: dict[str, int]
    shared: list[str]


def decode_offer(raw: list[Any]) -> CellOffer:
    """Return the offer in a datagram.

    Raises ValueError, TypeError or AttributeError for a malformed offer.
    """
    cell, slots, shared = raw
    counts = {
        str(incarnation): int(count) for incarnation, count in slots.items()
    }
    return CellOffer(
        str(cell), counts, [str(incarnation) for incarnation in shared]
    )


class TimedOffer(NamedTuple):
    """An offer and the monotonic time at which it expires."""

    offer: CellOffer
    expires_at: float


class Offers:
    """The last offer of each other cell."""

    def __init__(self, clock: Clock) -> None:
        """Create a store without offers."""
        self._clock = clock
        self._cells: dict[str, TimedOffer] = {}

    def put(self, offer: CellOffer) -> None:
        """Replace the last offer of a cell."""
        expires_at = self._clock.monotonic() + OFFER_LIFETIME_S
        self._cells[offer.cell] = TimedOffer(offer, expires_at)

    def slots(self) -> dict[str, int]:
        """Return the slots that are offered now, by incarnation key."""
        found: dict[str, int] = {}
        for offer in self._current():
            found.update(offer.slots)
        return found

    def shared(self) -> set[str]:
        """Return the remote replicas where this entry may run batch."""
        return {
            incarnation
            for offer in self._current()
            for incarnation in offer.shared
        }

    def _current(self) -> list[CellOffer]:
        now = self._clock.monotonic()
        for cell, stored in tuple(self._cells.items()):
            if stored.expires_at <= now:
                self._cells.pop(cell)
        return [stored.offer for stored in self._cells.values()]
