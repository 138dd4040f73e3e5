"""Estimates how long requests hold the slots of replicas.

The estimates deal with loads that exceed the slots of the replicas for a
second or more: the expected wait for a slot, by which requests are placed and
admitted, is proportional to the time for which a request holds one.
"""

import abc
from typing import NamedTuple

from cactusridge.dispatch.catalog import Route
from cactusridge.dispatch.placement import INITIAL_SLOT_TIME_S, SlotTime
from cactusridge.dispatch.usual_time import UsualTime
from cactusridge.fleet.replica import Replica

# Number of pairs of service and route whose times are kept. Routes come and go
# with the configuration for as long as the process runs.
KEPT_ROUTES = 1024


class CompletedRun(NamedTuple):
    """A completed online request at a replica; times are in seconds.

    ``queue`` is the number of slots that had to become free before the
    request started, as counted when it was sent; it is 0 if ``held_s`` does
    not include that wait. ``held_s`` is the time from sending, for a stream
    from the first event, to the end. ``since_arrival_s`` is the time from the
    arrival of the caller, for a stream from the head, to the end.
    """

    replica: Replica
    route: str
    queue: int
    held_s: float
    since_arrival_s: float


class CapacityEstimates(abc.ABC):
    """Estimates slot times from completed requests."""

    @abc.abstractmethod
    def record(self, done: CompletedRun) -> None:
        """Add a completed request to the estimates."""

    @abc.abstractmethod
    def slot_s(self, replica: Replica, route: Route) -> float:
        """Return how long a request of ``route`` holds a slot, in seconds."""

    @abc.abstractmethod
    def queued_slot_s(self, replica: Replica) -> float:
        """Return how long the requests at a replica hold a slot, in seconds.

        It is the mean over the routes of the service, since the requests ahead
        in a queue are of all its routes.
        """


class MeanCapacity(CapacityEstimates):
    """Naive policy: one moving average per service, since the arrival.

    The time includes queueing and earlier attempts at other replicas.
    """

    def __init__(self) -> None:
        """Start from the assumed time for every service."""
        self._times: dict[str, SlotTime] = {}

    def record(self, done: CompletedRun) -> None:
        """Add the time since the arrival to the average of the service."""
        times = self._times.setdefault(done.replica.service, SlotTime())
        times.add(done.since_arrival_s)

    def slot_s(self, replica: Replica, route: Route) -> float:
        """Return the average of the service, the same for all its routes."""
        return self.queued_slot_s(replica)

    def queued_slot_s(self, replica: Replica) -> float:
        """Return the average of the replica's service."""
        times = self._times.get(replica.service)
        return times.mean_s if times else INITIAL_SLOT_TIME_S


class ObservedCapacity(CapacityEstimates):
    """Estimates slot times per route from the time of sending.

    The part of the time that a request spent in the replica's queue is
    removed. The assumed time applies only until the first observation.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._times: dict[tuple[str, str], UsualTime] = {}
        # Over all routes of a service.
        self._mixed: dict[str, UsualTime] = {}

    def record(self, done: CompletedRun) -> None:
        """Add the time for which a completed request held its slot."""
        service = done.replica.service
        key = (service, done.route)
        if key not in self._times and len(self._times) >= KEPT_ROUTES:
            self._times.pop(next(iter(self._times)))
        times = self._times.setdefault(key, UsualTime())
        mixed = self._mixed.setdefault(service, UsualTime())
        slot_s = done.held_s * _running_share(done, times, mixed)
        times.add(slot_s)
        mixed.add(slot_s)

    def slot_s(self, replica: Replica, route: Route) -> float:
        """Return the usual time of the route, or that of all routes."""
        times = self._times.get((replica.service, route.name))
        return times.mean_s if times else self.queued_slot_s(replica)

    def queued_slot_s(self, replica: Replica) -> float:
        """Return the usual time over all routes of the service."""
        times = self._mixed.get(replica.service)
        return times.mean_s if times else INITIAL_SLOT_TIME_S


def _running_share(
    done: CompletedRun, times: UsualTime, mixed: UsualTime
) -> float:
    """Return the share of ``held_s`` in which the request held a slot.

    While it waited, ``queue`` slots became free, of which each of the
    replica's slots contributed an equal part. The requests ahead are assumed
    to be of all routes of the service.
    """
    turns = done.queue / max(1, done.replica.slots)
    if not (turns and times.count):
        return 1 / (1 + turns)
    return times.mean_s / (times.mean_s + turns * mixed.mean_s)
