"""Which replica has room for one more batch item."""

import itertools
import random
from collections.abc import Set

from cactusridge.dispatch.catalog import Route
from cactusridge.dispatch.run import Runner
from cactusridge.dispatch.yielding import room
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.peers.batch_sharing import BatchSharing


class FreeReplicas:
    """Finds the replica with the most room among an entry's own."""

    def __init__(
        self,
        fleet: FleetView,
        runner: Runner,
        sharing: BatchSharing,
    ) -> None:
        """Look among those where ``sharing`` lets this entry."""
        self._fleet = fleet
        self._runner = runner
        self._sharing = sharing
        self._rng = random.Random()  # noqa: S311

    def roomiest(self, route: Route) -> Replica | None:
        """Return the replica with the most room, None if there is none.

        One of the entry's cell if any there has room: what runs in another
        availability zone costs bytes between them.
        """
        services = [each.service for each in route.shares if each.weight]
        cells = map(self._sharing.cells.of_service, services)
        near = frozenset().union(*(each.near for each in cells))
        usable = self._usable(services, near)
        free = [
            (
                key in near,
                room(usable[key].slots, self._runner.loads.at(key)),
                self._rng.random(),
                key,
            )
            for key in self._runner.health.allowed(usable)
        ]
        most = max((each for each in free if each[1]), default=None)
        return most and usable[most[-1]]

    def _usable(
        self, services: list[str], near: Set[str]
    ) -> dict[str, Replica]:
        """Return the replicas where this entry may run batch, by life.

        Of another cell's only those of whose requests it is told: one that
        it knows nothing of looks empty. Without any replica of its own an
        entry uses all; yielding sorts it out.
        """
        mine = list(
            itertools.chain(*map(self._sharing.replicas_of, services)),
        )
        if not mine:
            ready = itertools.chain(*map(self._fleet.ready, services))
            return {each.life: each for each in ready}
        known = near | self._runner.loads.shared()
        return {each.life: each for each in mine if each.life in known}
