"""The routes of jobs, which configurations nest, split and rename."""

import random
from collections.abc import Mapping
from typing import Any

Route = Mapping[str, Any]
# Where jobs are submitted, and the groups of item paths that routes may cover.
SUBMIT_PREFIX = '/lots/in/'
GROUP_PREFIXES = ('/lots/0/', '/lots/1/')
# A service without replicas: an item that is sent there never runs.
NO_SERVICE = 'none'
SHORT_WAIT_S = 0.2
STREAMING = 'streaming'


class JobRoutes:
    """Draws what becomes of the batch route in the next configuration."""

    def __init__(self, rng: random.Random, other_service: str) -> None:
        """Draw with ``rng``; other routes may be of ``other_service``."""
        self._rng = rng
        self._other_service = other_service

    def routes(self, batch: Route) -> list[dict[str, Any]]:
        """Return the routes that take the place of the batch route."""
        shapes = (
            self._alone,
            self._renamed,
            self._with_stream_below,
            self._with_batch_below,
            self._split,
        )
        routes = self._rng.choice(shapes)(batch)
        self._rng.shuffle(routes)
        return routes

    def _alone(self, batch: Route) -> list[dict[str, Any]]:
        return [dict(batch)]

    def _renamed(self, batch: Route) -> list[dict[str, Any]]:
        return [{**batch, 'name': f'lots{self._rng.randrange(100)}'}]

    def _with_stream_below(self, batch: Route) -> list[dict[str, Any]]:
        """Add a streaming route for some items, here or at another service."""
        stream = {
            'name': 'below',
            'path_prefix': self._rng.choice(GROUP_PREFIXES),
            'kind': STREAMING,
            'service': self._rng.choice((NO_SERVICE, self._other_service)),
        }
        return [dict(batch), stream]

    def _with_batch_below(self, batch: Route) -> list[dict[str, Any]]:
        """Add a batch route for some items that gives them up early."""
        below = {
            **batch,
            'name': 'short',
            'path_prefix': self._rng.choice(GROUP_PREFIXES),
            'max_wait_s': SHORT_WAIT_S,
            'result_due_ms': 1,
            'service': self._rng.choice((NO_SERVICE, self._other_service)),
        }
        return [dict(batch), below]

    def _split(self, batch: Route) -> list[dict[str, Any]]:
        """Divide the route into those of its parts."""
        return [
            {**batch, 'name': f'part{number}', 'path_prefix': prefix}
            for number, prefix in enumerate((SUBMIT_PREFIX, *GROUP_PREFIXES))
        ]
