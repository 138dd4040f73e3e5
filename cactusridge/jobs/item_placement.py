"""Selects the replica at which an item starts or goes on."""

from cactusridge.clock import Clock
from cactusridge.dispatch.catalog import Route
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.jobs.free_replicas import FreeReplicas
from cactusridge.jobs.item_run import ItemTask

# Longest wait of an item, in seconds, for a free slot where its output can go
# on; then it starts over.
MAX_RESUME_WAIT_S = 1.0


class ItemPlacement:
    """Keeps the output of an item at the software version that began it.

    Unlike a stream, an item that cannot go on may start over: its output is
    listed only when it is complete.
    """

    def __init__(
        self, free: FreeReplicas, fleet: FleetView, clock: Clock
    ) -> None:
        """Choose among the replicas in ``free`` and in ``fleet``."""
        self._free = free
        self._fleet = fleet
        self._clock = clock

    def choose(self, route: Route, task: ItemTask) -> Replica | None:
        """Return the replica with the most free slots, None if there is none.

        An item with output waits up to MAX_RESUME_WAIT_S for one where it can
        go on, while such a replica is ready. The replica that has interrupted
        its last run is the last choice: if it goes down and up by turns, it
        has the most free slots each time.
        """
        avoided = task.interrupted_at
        if task.last_id is None:
            return self._free.with_most_room(route, avoided=avoided)
        replica = self._free.with_most_room(route, task.origin, avoided)
        if replica is None and not self._should_wait(task):
            return self._free.with_most_room(route, avoided=avoided)
        return replica

    def may_continue(self, task: ItemTask, replica: Replica) -> bool:
        """Return whether the output of an item may go on at a replica."""
        return task.last_id is None or self._fleet.may_continue(
            task.origin, replica
        )

    def _should_wait(self, task: ItemTask) -> bool:
        waited_s = self._clock.monotonic() - task.waiting_since
        return waited_s < MAX_RESUME_WAIT_S and any(
            self._fleet.may_continue(task.origin, replica)
            for replica in self._fleet.ready(task.origin.service)
        )
