"""A queue that is fair between teams and ordered within each team."""

import heapq
import itertools
from typing import Any


class FairQueue:
    """Stride scheduling between teams, lowest rank first within a team.

    Each team has a pass value that grows by 1 / share with every entry
    served; the team with the lowest pass value is served next.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self._heaps: dict[str, list[tuple[float, int, Any]]] = {}
        self._passes: dict[str, float] = {}
        self._virtual_time = float(0)
        self._serial = itertools.count()
        self._size = 0

    def push(self, team: str, share: float, rank: float, entry: Any) -> None:
        """Add ``entry`` to the queue of ``team``.

        Teams are served in proportion to ``share``. Within the team, the
        entry with the lowest ``rank`` is served first.
        """
        heap = self._heaps.setdefault(team, [])
        if not heap:
            # A team gains no credit for the time in which its queue was
            # empty, or it would block the other teams on its return.
            self._passes[team] = max(
                self._passes.get(team, 0), self._virtual_time
            )
        heapq.heappush(heap, (rank, next(self._serial), (entry, share)))
        self._size += 1

    def pop(self) -> Any:
        """Remove and return the next entry; the queue must not be empty."""
        team = min(self._heaps, key=self._passes.__getitem__)
        heap = self._heaps[team]
        entry, share = heapq.heappop(heap)[2]
        self._virtual_time = self._passes[team]
        self._passes[team] += 1 / share
        self._size -= 1
        self._drop_idle_teams(team)
        return entry

    def peek(self) -> Any:
        """Return the next entry without removing it, or None if empty."""
        if not self._heaps:
            return None
        team = min(self._heaps, key=self._passes.__getitem__)
        return self._heaps[team][0][2][0]

    def discard(self, entry: Any) -> bool:
        """Remove ``entry``; return whether it was in the queue."""
        for team, heap in tuple(self._heaps.items()):
            remaining = [queued for queued in heap if queued[2][0] is not entry]
            if len(remaining) == len(heap):
                continue
            heapq.heapify(remaining)
            self._heaps[team] = remaining
            self._size -= 1
            self._drop_idle_teams(team)
            return True
        return False

    def __len__(self) -> int:
        """Return the number of entries in the queue."""
        return self._size

    def _drop_idle_teams(self, team: str) -> None:
        if self._heaps[team]:
            return
        self._heaps.pop(team)
        # A team whose pass value is not ahead of the virtual time would
        # restart at the virtual time, so its value need not be stored.
        for idle in set(self._passes) - set(self._heaps):
            if self._passes[idle] <= self._virtual_time:
                self._passes.pop(idle)
