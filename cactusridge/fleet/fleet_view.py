"""The replicas that this entry knows, by service."""

from collections.abc import Iterable

from gevent.event import Event

from cactusridge import events, logs
from cactusridge.fleet.incarnation_listener import IncarnationListener
from cactusridge.fleet.incarnation_order import IncarnationOrder
from cactusridge.fleet.replica import (
    UNKNOWN_START,
    Replica,
    ReplicaState,
    incarnation_key,
)
from cactusridge.fleet.start_time_rule import (
    is_usable_entry,
    most_have_start_time,
)
from cactusridge.fleet.stream_origin import StreamOrigin


class FleetView:
    """The newest incarnation of each replica that service discovery lists.

    ``changed`` is set whenever a replica is added, updated or removed. State
    about a replica is keyed by its incarnation, never by its plain id, which a
    restarted process keeps.
    """

    def __init__(self) -> None:
        """Create a view without replicas."""
        self.changed = Event()
        self._replicas: dict[str, Replica] = {}
        # The ready replicas by service; cleared whenever the replicas change.
        self._ready: dict[str, tuple[Replica, ...]] = {}
        self._order = IncarnationOrder()
        self._with_start_time = 0
        self._excluded = 0
        self._listeners: list[IncarnationListener] = []

    def add_incarnation_listener(self, listener: IncarnationListener) -> None:
        """Notify ``listener`` of each incarnation that a newer one replaces."""
        self._listeners.append(listener)

    def put(self, replica: Replica) -> None:
        """Add a replica, a new incarnation or a new state of a known replica.

        Raises OlderIncarnation if the incarnation is older than the newest
        known one, and MissingStartTime if the entry has no start time although
        an earlier entry of the same id had one.
        """
        ended = self._order.record(replica.id, replica.started_at_ms)
        if ended is not None:
            self._end_incarnation(replica, ended)
        if self._replicas.get(replica.incarnation) == replica:
            return
        self._with_start_time -= self._has_start_time(replica.incarnation)
        self._replicas[replica.incarnation] = replica
        self._with_start_time += self._has_start_time(replica.incarnation)
        event = events.REPLICA_FOUND
        if replica.state == ReplicaState.draining:
            event = events.REPLICA_LEAVING
        logs.emit(
            event,
            replica=replica.id,
            service=replica.service,
            born=replica.started_at_ms,
            version=replica.version,
        )
        self._notify_changed()

    def drop(self, replica_id: str) -> None:
        """Remove a replica; its newest start time stays remembered."""
        newest = self._order.newest(replica_id)
        if newest is None or not self._remove(
            incarnation_key(replica_id, newest)
        ):
            return
        self._order.record_unlisted(replica_id)
        logs.emit(events.REPLICA_GONE, replica=replica_id)
        self._notify_changed()

    def get(self, incarnation: str) -> Replica | None:
        """Return the replica with this incarnation key, or None."""
        return self._replicas.get(incarnation)

    def ids(self) -> set[str]:
        """Return the ids of all replicas."""
        return {replica.id for replica in self._replicas.values()}

    def services(self) -> set[str]:
        """Return the services that have a replica."""
        return {replica.service for replica in self._replicas.values()}

    def ready(self, service: str) -> tuple[Replica, ...]:
        """Return the replicas of ``service`` that accept new work.

        The result is cached until the replicas change, because every request
        and every poll of the batch scheduler calls this method.
        """
        found = self._ready.get(service)
        if found is None:
            most_have_start = self._most_have_start_time()
            found = tuple(
                replica
                for replica in self._replicas.values()
                if replica.service == service
                and replica.state == ReplicaState.ready
                and is_usable_entry(
                    replica.started_at_ms, UNKNOWN_START, most_have_start
                )
            )
            self._ready[service] = found
        return found

    def is_usable(self, replica: Replica) -> bool:
        """Return whether the entry of a replica identifies a usable replica."""
        most_have_start = self._most_have_start_time()
        return is_usable_entry(
            replica.started_at_ms, UNKNOWN_START, most_have_start
        )

    def states_versions(self, service: str) -> bool:
        """Return whether any replica of ``service`` states its version."""
        return any(
            replica.version
            for replica in self._replicas.values()
            if replica.service == service
        )

    def may_continue(self, origin: StreamOrigin, replica: Replica) -> bool:
        """Return whether output that began at ``origin`` may go on there.

        Replicas without a version may differ from each other if others of
        their service state one.
        """
        if replica.origin != origin:
            return False
        return bool(origin.version) or not self.states_versions(origin.service)

    def addresses(self) -> Iterable[tuple[str, int]]:
        """Return the addresses of all replicas."""
        return {replica.address for replica in self._replicas.values()}

    def _end_incarnation(self, replica: Replica, started_at_ms: int) -> None:
        """Remove the incarnation of ``replica`` started then."""
        incarnation = incarnation_key(replica.id, started_at_ms)
        self._remove(incarnation)
        logs.emit(
            events.REPLICA_RESTARTED,
            replica=replica.id,
            born=replica.started_at_ms,
            before=started_at_ms,
        )
        for listener in self._listeners:
            listener.incarnation_ended(incarnation)

    def _remove(self, incarnation: str) -> bool:
        """Remove an incarnation; return whether it was known."""
        self._with_start_time -= self._has_start_time(incarnation)
        self._ready.clear()
        return self._replicas.pop(incarnation, None) is not None

    def _has_start_time(self, incarnation: str) -> bool:
        """Return whether the incarnation is known and has a start time."""
        replica = self._replicas.get(incarnation)
        return replica is not None and replica.started_at_ms != UNKNOWN_START

    def _most_have_start_time(self) -> bool:
        return most_have_start_time(self._with_start_time, len(self._replicas))

    def _notify_changed(self) -> None:
        """Signal a change; log when replicas begin or cease to be excluded.

        Replicas without a start time are excluded while most others have one.
        """
        without_start_time = len(self._replicas) - self._with_start_time
        excluded = without_start_time if self._most_have_start_time() else 0
        if bool(excluded) != bool(self._excluded):
            logs.emit(events.START_TIMES_MISSING, left_out=excluded)
        self._excluded = excluded
        self._ready.clear()
        self.changed.set()
