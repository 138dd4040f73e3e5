"""Estimates how long requests hold the slots of replicas.

The estimates deal with loads that exceed the slots of the replicas for a
second or more: the expected wait for a slot, by which requests are placed and
admitted, is proportional to the time for which a request holds one.
"""

import abc
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from cactusridge.dispatch.catalog import Route
from cactusridge.dispatch.placement import INITIAL_SLOT_TIME_S, SlotTime
from cactusridge.fleet.replica import Replica
from cactusridge.peers.speed_observations import SpeedObservations

NO_SPEEDS: Mapping[str, float] = MappingProxyType({})


class CompletedRun(NamedTuple):
    """A completed online request at a replica; times are in seconds.

    ``queue`` is the number of slots that had to become free before the
    request started, as counted when it was sent; it is 0 if ``held_s`` does
    not include that wait. ``held_s`` is the time from sending, for a stream
    from the first event, to the end. ``since_arrival_s`` is the time from the
    arrival of the caller, for a stream from the head, to the end.
    ``events`` is the number of events of a stream after the first ones, None
    for other requests. ``is_work`` is False if ``held_s`` does not show how
    long the replica works: the answer is an error, or the caller delayed it.
    """

    replica: Replica
    route: str
    queue: int
    held_s: float
    since_arrival_s: float
    events: int | None = None
    is_work: bool = True


class ReplicaCapacity(NamedTuple):
    """The estimate for one replica; times are in seconds.

    ``slot_s`` is how long the requests of its service hold a slot there.
    ``speed`` is relative to its service and 1 for a usual replica. ``samples``
    is the number of observations, of which old ones count less, and ``age_s``
    the age of the newest one. A replica without observations has 0 for both.
    """

    incarnation: str
    slot_s: float
    speed: float
    samples: float
    age_s: float


class CapacityEstimates(abc.ABC):
    """Estimates slot times and speeds from completed requests."""

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

    @abc.abstractmethod
    def unusual_speeds(self) -> Mapping[str, float]:
        """Return the relative speeds, by incarnation, that are not 1."""

    @abc.abstractmethod
    def of_service(self, service: str) -> list[ReplicaCapacity]:
        """Return the estimates for the ready replicas of a service."""

    @abc.abstractmethod
    def forget(self, incarnation: str) -> None:
        """Discard the estimates of an incarnation that has ended."""

    @abc.abstractmethod
    def take_observations(self) -> dict[str, SpeedObservations]:
        """Return new observations of this entry by incarnation, once each."""

    @abc.abstractmethod
    def add_observations(self, found: dict[str, SpeedObservations]) -> None:
        """Add the observations of a peer."""

    def speed(self, incarnation: str) -> float:
        """Return the speed relative to the service, 1 for a usual replica."""
        return self.unusual_speeds().get(incarnation, 1)


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

    def unusual_speeds(self) -> Mapping[str, float]:
        """Return no speeds: all replicas count as usual."""
        return NO_SPEEDS

    def of_service(self, service: str) -> list[ReplicaCapacity]:
        """Return nothing, since there are no estimates by replica."""
        return []

    def forget(self, incarnation: str) -> None:
        """Do nothing, since there are no estimates by replica."""

    def take_observations(self) -> dict[str, SpeedObservations]:
        """Return nothing, since there are no estimates by replica."""
        return {}

    def add_observations(self, found: dict[str, SpeedObservations]) -> None:
        """Do nothing, since there are no estimates by replica."""
