"""What successive configurations of a soak change besides routes and keys."""

import itertools
import random
from collections.abc import Mapping
from typing import Any

from soak.job_routes import JobRoutes
from soak.organisations import Organisations
from standins.machines.replica import MAIN_SERVICE
from standins.machines.site import ROUTE_DEFAULTS

SECOND_SERVICE = 'second'
TIMEOUTS_MS = (3500, 5000, 8000)
# Shares of the main service; the second one has the rest.
MAIN_SHARES = (0, 0.2, 0.5, 0.8, 1)
# Items of jobs have no time-out and stay at one service.
BATCH = 'batch'
MS_PER_S = 1000


class Configurations:
    """Draws time-outs, weights and quotas, or leaves all as it was."""

    def __init__(
        self,
        rng: random.Random | None = None,
        split: bool = False,
        job_routes: JobRoutes | None = None,
    ) -> None:
        """Draw with ``rng``; without it nothing changes.

        If ``split``, the requests are divided between two services.
        ``job_routes`` draws what becomes of the route of the jobs.
        """
        self._rng = rng
        self._split = split
        self._job_routes = job_routes
        self.timeout_s = ROUTE_DEFAULTS['timeout_ms'] / MS_PER_S

    def routes(self, routes: list[Mapping[str, Any]]) -> list[dict[str, Any]]:
        """Return the routes of the next configuration."""
        changes = self._changes()
        online = [
            {**route, **changes} for route in routes if route['kind'] != BATCH
        ]
        batch = [route for route in routes if route['kind'] == BATCH]
        return [*online, *itertools.chain(*map(self._of_jobs, batch))]

    def change_quota(self, organisations: Organisations) -> None:
        """Change the limit of an organisation that has one."""
        if self._rng is not None and organisations.limits:
            organisations.change_quota(self._rng)

    def _of_jobs(self, batch: Mapping[str, Any]) -> list[dict[str, Any]]:
        if self._job_routes is None:
            return [dict(batch)]
        return self._job_routes.routes(batch)

    def _changes(self) -> dict[str, Any]:
        if self._rng is None:
            return {}
        timeout_ms = self._rng.choice(TIMEOUTS_MS)
        self.timeout_s = timeout_ms / MS_PER_S
        main = self._rng.choice(MAIN_SHARES)
        weights = {MAIN_SERVICE: main, SECOND_SERVICE: 1 - main}
        split = [
            {'service': service, 'weight': weight}
            for service, weight in weights.items()
        ]
        timeout = {'timeout_ms': timeout_ms}
        return {**timeout, 'traffic_split': split} if self._split else timeout
