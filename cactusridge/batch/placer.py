"""Assigns batch items to replicas with free capacity, least slack first."""

import contextlib
import heapq
import itertools
from collections.abc import Iterator

from gevent.event import Event

from cactusridge.routing.outliers import OutlierDetector
from cactusridge.settings.catalog import Service
from cactusridge.sidecar_dispatch.fleet import Fleet
from cactusridge.sidecar_dispatch.replica import Replica

WAIT_S = 0.25


class Waiter:
    """An item that waits for a replica, and the replica once assigned."""

    def __init__(self) -> None:
        """Create a waiter without a replica."""
        self.granted = Event()
        self.replica: Replica | None = None


class BatchPlacer:
    """Assigns items to replicas, up to a number of items in flight.

    An item counts as in flight from its assignment until it has ended.
    """

    def __init__(
        self,
        fleet: Fleet,
        outliers: OutlierDetector,
        max_items: int,
    ) -> None:
        """Allow at most ``max_items`` items in flight from this process."""
        self._fleet = fleet
        self._outliers = outliers
        self._max_items = max_items
        self._serial = itertools.count()
        self._waiting: dict[str, list[tuple[float, int, Waiter]]] = {}
        self._placed: dict[str, int] = {}

    def step(self) -> None:
        """Assign waiting items after a report, or after WAIT_S seconds."""
        self._fleet.changed.wait(WAIT_S)
        self._fleet.changed.clear()
        for service in tuple(self._waiting):
            self._grant(service)

    @property
    def waiting(self) -> int:
        """Return the number of items that wait for a replica."""
        return sum(map(len, self._waiting.values()))

    @contextlib.contextmanager
    def place(self, service: Service, slack_s: float) -> Iterator[Replica]:
        """Wait for a replica and occupy a slot on it within the context.

        Waiting items of a service are served in the order of ``slack_s``.
        """
        waiter = Waiter()
        entry = (slack_s, next(self._serial), waiter)
        heapq.heappush(self._waiting.setdefault(service.path, []), entry)
        self._grant(service.path)
        try:
            waiter.granted.wait()
            yield waiter.replica
        finally:
            self._release(service.path, entry)

    def _release(
        self,
        service: str,
        entry: tuple[float, int, Waiter],
    ) -> None:
        replica = entry[2].replica
        if replica is None:
            # The item ended before it was assigned to a replica.
            heap = self._waiting[service]
            heap.remove(entry)
            heapq.heapify(heap)
            return
        self._count(replica, -1)
        self._grant(service)

    def _grant(self, service: str) -> None:
        heap = self._waiting.get(service, [])
        while heap and sum(self._placed.values()) < self._max_items:
            replica = self._most_free_replica(service)
            if replica is None:
                return
            waiter = heapq.heappop(heap)[2]
            waiter.replica = replica
            self._count(replica, 1)
            waiter.granted.set()

    def _most_free_replica(self, service: str) -> Replica | None:
        replicas = {
            replica.key: replica for replica in self._fleet.replicas(service)
        }
        allowed = self._outliers.selectable(replicas)
        entries = len(self._fleet.entry_names())
        remaining = [
            (self._remaining_share(replicas[key], entries), key)
            for key in sorted(allowed)
        ]
        best = max(remaining, default=(0, ''))
        return replicas[best[1]] if best[0] > 0 else None

    def _remaining_share(self, replica: Replica, entries: int) -> int:
        fair = replica.batch_item_limit(entries)
        return fair - self._placed.get(replica.key, 0)

    def _count(self, replica: Replica, change: int) -> None:
        total = self._placed.get(replica.key, 0) + change
        self._placed[replica.key] = total
        if not total:
            self._placed.pop(replica.key)
