"""The replicas this entry knows, by service."""

from collections.abc import Iterable

from gevent.event import Event

from cactusridge import events, logs
from cactusridge.dispatch.replica import Replica, ReplicaState


class FleetView:
    """Replicas by id; ``changed`` is set whenever one comes or goes."""

    def __init__(self) -> None:
        """Start with no replica."""
        self.changed = Event()
        self._replicas: dict[str, Replica] = {}
        # Those that are ready, by service, until the replicas change.
        self._ready: dict[str, tuple[Replica, ...]] = {}

    def put(self, replica: Replica) -> None:
        """Take a new replica, or a new state of a known one."""
        known = self._replicas.get(replica.id)
        if known == replica:
            return
        self._replicas[replica.id] = replica
        self._ready.clear()
        event = events.REPLICA_FOUND
        if replica.state == ReplicaState.draining:
            event = events.REPLICA_LEAVING
        logs.emit(event, replica=replica.id, service=replica.service)
        self.changed.set()

    def drop(self, replica_id: str) -> None:
        """Forget a replica that is gone."""
        if self._replicas.pop(replica_id, None) is not None:
            self._ready.clear()
            logs.emit(events.REPLICA_GONE, replica=replica_id)
            self.changed.set()

    def get(self, replica_id: str) -> Replica | None:
        """Return the replica with this id, or None."""
        return self._replicas.get(replica_id)

    def slots(self, replica_id: str) -> int:
        """Return a replica's slots, 0 if it is gone."""
        replica = self._replicas.get(replica_id)
        return replica.slots if replica else 0

    def ids(self) -> set[str]:
        """Return the ids of all replicas."""
        return set(self._replicas)

    def ready(self, service: str) -> tuple[Replica, ...]:
        """Return the replicas of ``service`` that take new work.

        Asked for at every request and for each replica at every look of
        the batch scheduler: found anew only after a change.
        """
        found = self._ready.get(service)
        if found is None:
            found = tuple(
                replica
                for replica in self._replicas.values()
                if replica.service == service
                and replica.state == ReplicaState.ready
            )
            self._ready[service] = found
        return found

    def addresses(self) -> Iterable[tuple[str, int]]:
        """Return the addresses of all replicas."""
        return {replica.address for replica in self._replicas.values()}
