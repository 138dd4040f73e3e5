"""Which replica has room for one more batch item."""

import itertools
import random

from cactusridge.dispatch.batch_sharing import BatchSharing
from cactusridge.dispatch.catalog import Route
from cactusridge.dispatch.fleet_view import FleetView
from cactusridge.dispatch.replica import Replica
from cactusridge.dispatch.run import Runner
from cactusridge.dispatch.yielding import room


class FreeReplicas:
    """Finds the replica with the most room among an entry's own."""

    def __init__(
        self,
        name: str,
        fleet: FleetView,
        runner: Runner,
        sharing: BatchSharing,
    ) -> None:
        """Look among those where ``sharing`` lets the entry ``name``."""
        self._name = name
        self._fleet = fleet
        self._runner = runner
        self._sharing = sharing
        self._rng = random.Random()  # noqa: S311

    def roomiest(self, route: Route) -> Replica | None:
        """Return the replica with the most room, None if there is none."""
        services = [each.service for each in route.shares if each.weight]
        mine = [
            self._sharing.replicas_of(self._name, each) for each in services
        ]
        # Without any of its own an entry uses all; yielding sorts it out.
        usable = mine if any(mine) else map(self._fleet.ready, services)
        ready = {each.life: each for each in itertools.chain(*usable)}
        allowed = self._runner.health.allowed(ready)
        free = [
            (
                room(ready[key].slots, self._runner.loads.at(key)),
                self._rng.random(),
                key,
            )
            for key in allowed
        ]
        most = max(free, default=(0, 0, ''))
        return ready[most[-1]] if most[0] else None
