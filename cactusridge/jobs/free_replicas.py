"""Selects a replica with a free slot for a batch item."""

import itertools
import random
from collections.abc import Set

from cactusridge.dispatch.catalog import Route
from cactusridge.dispatch.preemption import free_batch_slots
from cactusridge.dispatch.run import Runner
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.fleet.stream_origin import StreamOrigin
from cactusridge.peers.batch_sharing import BatchSharing


class FreeReplicas:
    """Finds the replica with the most free slots for this entry's items."""

    def __init__(
        self,
        fleet: FleetView,
        runner: Runner,
        sharing: BatchSharing,
    ) -> None:
        """Choose among the replicas that ``sharing`` assigns to this entry."""
        self._fleet = fleet
        self._runner = runner
        self._sharing = sharing
        self._rng = random.Random()  # noqa: S311

    def with_most_room(
        self,
        route: Route,
        origin: StreamOrigin | None = None,
        avoided: str | None = None,
    ) -> Replica | None:
        """Return the replica with the most free slots, None if all are full.

        If ``origin`` is given, only replicas of that origin are considered.
        The replica with the id ``avoided`` is returned only if no other has
        room, under whichever incarnation it runs.
        Replicas of the entry's own cell come first, since an item that
        runs in another availability zone causes traffic between zones.
        """
        services = [each.service for each in route.shares if each.weight]
        cells = map(self._sharing.cells.of_service, services)
        local = frozenset().union(*(each.local for each in cells))
        usable = self._usable(services, local)
        if origin is not None:
            usable = {
                key: replica
                for key, replica in usable.items()
                if self._fleet.may_continue(origin, replica)
            }
        free = [
            (
                usable[key].id != avoided,
                key in local,
                free_batch_slots(
                    usable[key].slots, self._runner.loads.total_at(key)
                ),
                self._rng.random(),
                key,
            )
            for key in self._runner.health.selectable(usable)
        ]
        most = max((each for each in free if each[2]), default=None)
        return most and usable[most[-1]]

    def _usable(
        self, services: list[str], local: Set[str]
    ) -> dict[str, Replica]:
        """Return the replicas where this entry may run items.

        The keys are the incarnations of the replicas. A replica of a
        remote cell is included only if this entry receives its request
        counts, since a replica without counts would seem to be idle. An
        entry to which no replica is assigned uses every ready replica;
        preemption then corrects the excess.
        """
        mine = list(
            itertools.chain(*map(self._sharing.replicas_of, services)),
        )
        if not mine:
            ready = itertools.chain(*map(self._fleet.ready, services))
            return {each.incarnation: each for each in ready}
        known = local | self._runner.loads.replicas_with_counts()
        return {
            each.incarnation: each for each in mine if each.incarnation in known
        }
