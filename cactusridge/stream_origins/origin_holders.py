"""Chooses the entries that keep the origin of a stream."""

import bisect
import itertools
from collections.abc import Callable, Iterable
from typing import NamedTuple

from cactusridge.fleet.entry_place import EntryPlace
from cactusridge.hashing import hash64

# Number of places that an entry has on the ring, so that all entries keep about
# as many streams.
PLACES_PER_ENTRY = 16
# Number of entries that follow a stream on the ring and are compared by
# availability zone.
COMPARED_ENTRIES = 8


class Ring(NamedTuple):
    """The places of all entries in the order of their hashes."""

    hashes: list[int]
    places: list[EntryPlace]


class OriginHolders:
    """Places streams and entries on a ring by hash, at every entry alike.

    The holders of a stream are the entries that follow it, of different
    availability zones as far as possible. When an entry joins or leaves, only
    the streams next to it get another holder.
    """

    def __init__(self, entries: Callable[[], tuple[EntryPlace, ...]]) -> None:
        """Choose among ``entries()``, the same object until they change."""
        self._entries = entries
        self._cached: tuple[EntryPlace, ...] | None = None
        self._ring = Ring([], [])

    def of(self, stream_id: str, count: int) -> list[str]:
        """Return the names of the ``count`` first holders of a stream.

        There are fewer if there are fewer entries.
        """
        ring = self._current()
        start = bisect.bisect(ring.hashes, hash64(stream_id))
        after = itertools.chain(
            itertools.islice(ring.places, start, None),
            itertools.islice(ring.places, start),
        )
        following = _first_distinct(after, COMPARED_ENTRIES)
        first_of_zone = {each.zone: each for each in reversed(following)}
        apart = [each for each in following if each in first_of_zone.values()]
        others = [each for each in following if each not in apart]
        return [each.name for each in (*apart, *others)[:count]]

    def _current(self) -> Ring:
        entries = self._entries()
        if entries is not self._cached:
            self._cached = entries
            ranked = sorted(
                (hash64(each.name, seed), each)
                for each in entries
                for seed in range(PLACES_PER_ENTRY)
            )
            self._ring = Ring(
                [number for number, _ in ranked],
                [place for _, place in ranked],
            )
        return self._ring


def _first_distinct(
    places: Iterable[EntryPlace], count: int
) -> list[EntryPlace]:
    """Return the first ``count`` different entries, or all of them."""
    found: dict[EntryPlace, None] = {}
    for place in places:
        found[place] = None
        if len(found) == count:
            break
    return list(found)
