"""The operators' configuration of routes, as the dispatcher reads it."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from cactusridge.organisations.directory import Directory


class RouteKind(enum.StrEnum):
    """What may be repeated on a route, and how answers come."""

    idempotent = 'idempotent'
    once = 'non_idempotent'
    stream = 'streaming'
    batch = 'batch'


class ServiceShare(NamedTuple):
    """A service and its weight among those that a route is split over."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route; all times are in seconds.

    ``timeout_s`` bounds a request from arrival to its end, ``aim_s`` is
    the wait up to which an answer is on time, ``attempts`` how many
    replicas one request may run on. ``due_s`` and ``give_up_s`` count
    from the submission of a batch job: when its results are due and
    when an unfinished item may be given up. Callers of a ``public`` one
    need no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    aim_s: float
    attempts: int
    priority: int
    resumable: bool
    due_s: float = 0
    give_up_s: float = 0
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind == RouteKind.stream:
            return self.resumable
        return self.kind == RouteKind.idempotent


class CallerLimits(NamedTuple):
    """Bounds on what a caller may send: bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3
    idle_s: float = 15


class Catalog(NamedTuple):
    """One version of the configuration; versions only grow.

    Without ``organisations`` nobody needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits
    organisations: Directory | None = None

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest fitting prefix."""
        found = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.prefix)
        ]
        return max(found, key=_prefix_length, default=None)

    def hosts(self) -> Iterable[str]:
        """Return the host names that have routes."""
        return {route.host for route in self.routes}


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


NO_CATALOG = Catalog(0, (), CallerLimits())
