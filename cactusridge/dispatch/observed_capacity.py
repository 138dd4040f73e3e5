"""Estimates slot times and speeds of replicas from completed requests."""

from collections.abc import Mapping

from cactusridge.clock import Clock
from cactusridge.dispatch.capacity import (
    CapacityEstimates,
    CompletedRun,
    ReplicaCapacity,
)
from cactusridge.dispatch.catalog import Route
from cactusridge.dispatch.fresh_observations import FreshObservations
from cactusridge.dispatch.placement import INITIAL_SLOT_TIME_S
from cactusridge.dispatch.replica_speeds import ReplicaSpeeds, clamped_ratio
from cactusridge.dispatch.route_times import RouteTimes
from cactusridge.dispatch.usual_time import UsualTime
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.peers.speed_observations import SpeedObservations

# Number of observations from which a usual time is precise enough to compare
# single requests with it.
LEAST_COMPARED = 8


class ObservedCapacity(CapacityEstimates):
    """Estimates slot times per route, and speeds per replica.

    A time counts from the moment of sending, without the part that a request
    spent in the replica's queue. The assumed time applies only until the first
    observation. The speed of a replica follows from its times as multiples of
    the usual time of the same route.
    """

    def __init__(self, fleet: FleetView, clock: Clock) -> None:
        """Start without observations of the replicas in ``fleet``."""
        self._fleet = fleet
        self._clock = clock
        self._speeds = ReplicaSpeeds(clock)
        self._fresh = FreshObservations(clock)
        self._times = RouteTimes()
        # Seconds per event. The pace of streams varies less than their length.
        self._paces = RouteTimes()
        # Over all routes of a service.
        self._mixed: dict[str, UsualTime] = {}

    def record(self, done: CompletedRun) -> None:
        """Add the time for which a completed request held its slot."""
        if not done.is_work:
            return
        service = done.replica.service
        times = self._times.at(service, done.route)
        mixed = self._mixed.setdefault(service, UsualTime())
        slot_s = done.held_s * _running_share(done, times, mixed)
        if done.events is None:
            self._compare(done.replica, times, slot_s)
        elif done.events:
            paces = self._paces.at(service, done.route)
            pace_s = done.held_s / done.events
            self._compare(done.replica, paces, pace_s)
            paces.add(pace_s)
        times.add(slot_s)
        mixed.add(slot_s)

    def slot_s(self, replica: Replica, route: Route) -> float:
        """Return the usual time of the route, or that of all routes."""
        times = self._times.find(replica.service, route.name)
        if times is None:
            return self.queued_slot_s(replica)
        return times.mean_s / self.speed(replica.incarnation)

    def queued_slot_s(self, replica: Replica) -> float:
        """Return the usual time over all routes of the service."""
        times = self._mixed.get(replica.service)
        usual_s = times.mean_s if times else INITIAL_SLOT_TIME_S
        return usual_s / self.speed(replica.incarnation)

    def unusual_speeds(self) -> Mapping[str, float]:
        """Return the speeds outside the range that counts as usual."""
        return self._speeds.unusual()

    def of_service(self, service: str) -> list[ReplicaCapacity]:
        """Return the estimates for the ready replicas of a service."""
        return [self._of(replica) for replica in self._fleet.ready(service)]

    def forget(self, incarnation: str) -> None:
        """Discard the speed of an incarnation that has ended."""
        self._speeds.forget(incarnation)
        self._fresh.forget(incarnation)

    def take_observations(self) -> dict[str, SpeedObservations]:
        """Return new observations of this entry by incarnation, once each."""
        return self._fresh.take()

    def add_observations(self, found: dict[str, SpeedObservations]) -> None:
        """Add the observations of a peer about replicas known here."""
        for incarnation, each in found.items():
            if self._fleet.get(incarnation) is not None:
                self._speeds.add(incarnation, *each)

    def _of(self, replica: Replica) -> ReplicaCapacity:
        samples, age_s = float(0), float(0)
        found = self._speeds.get(replica.incarnation)
        if found:
            samples = found.samples
            age_s = self._clock.monotonic() - found.newest_at
        return ReplicaCapacity(
            replica.incarnation,
            self.queued_slot_s(replica),
            self.speed(replica.incarnation),
            samples,
            age_s,
        )

    def _compare(
        self, replica: Replica, usual: UsualTime, observed_s: float
    ) -> None:
        """Add a time to the speed of its replica, relative to ``usual``."""
        if usual.count >= LEAST_COMPARED:
            ratio = observed_s / usual.mean_s
            self._speeds.add(replica.incarnation, ratio)
            self._fresh.add(replica.incarnation, clamped_ratio(ratio))


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
