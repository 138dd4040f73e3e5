"""The route configuration written by operators."""

import enum
import math
from collections.abc import Iterable
from typing import NamedTuple

from cactusridge.organisations.directory import Directory


class RouteKind(enum.StrEnum):
    """The kind of a route: whether requests may be repeated or are streamed."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    streaming = 'streaming'
    batch = 'batch'


class ServiceShare(NamedTuple):
    """A service of a route and its weight in the traffic split."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route; all times are in seconds.

    ``timeout_s`` limits the time from the arrival of a request to the end
    of its answer. ``target_latency_s`` is the target latency: an answer
    that starts within it is on time. ``attempts`` is the number of replicas
    on which one request may run. ``due_s`` and ``abandon_after_s`` count from
    the submission of a batch job: the results are due after ``due_s``, and an
    unfinished item may be abandoned after ``abandon_after_s``, by default
    never. Callers of a ``public`` route need no API key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    target_latency_s: float
    attempts: int
    priority: int
    resumable: bool
    due_s: float = 0
    abandon_after_s: float = math.inf
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind == RouteKind.streaming:
            return self.resumable
        return self.kind == RouteKind.idempotent


class AcceptedWork(NamedTuple):
    """A request or an item of a batch job, and the route that accepted it.

    The route is identified by its host and its ``prefix``, since its name,
    services and times may change. ``path`` is that of the request or item.
    """

    host: str
    prefix: str
    path: str
    is_batch: bool


class CallerLimits(NamedTuple):
    """Limits on the requests of callers, in bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3
    idle_s: float = 15


class Catalog(NamedTuple):
    """One version of the configuration; version numbers only increase.

    If ``organisations`` is None, no caller needs an API key.
    """

    version: int
    routes: tuple[Route, ...]
    limits: CallerLimits
    organisations: Directory | None = None

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a new request to ``host``.

        It is the one with the longest prefix of ``path``.
        """
        return _longest(
            each
            for each in self.routes
            if each.host == host and path.startswith(each.prefix)
        )

    def route_of(self, work: AcceptedWork) -> Route | None:
        """Return the route of work that was accepted earlier.

        While the route that accepted it exists, work stays with it: one that
        covers part of its paths is for new requests. If that route was split,
        the work belongs to the part that covers its path, and if it was
        merged, to the route that covers the whole of it. Only routes of the
        same kind, batch or not, are considered.
        """
        routes = [
            each
            for each in self.routes
            if each.host == work.host
            and (each.kind == RouteKind.batch) == work.is_batch
        ]
        covering = [
            each for each in routes if work.path.startswith(each.prefix)
        ]
        choices = (
            [each for each in routes if each.prefix == work.prefix],
            [each for each in covering if each.prefix.startswith(work.prefix)],
            [each for each in routes if work.prefix.startswith(each.prefix)],
            covering,
        )
        return _longest(next(filter(None, choices), ()))

    def hosts(self) -> Iterable[str]:
        """Return the host names that have routes."""
        return {route.host for route in self.routes}


def _longest(routes: Iterable[Route]) -> Route | None:
    """Return the route with the longest prefix, None if there is none."""
    return max(routes, key=_prefix_length, default=None)


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


EMPTY_CATALOG = Catalog(0, (), CallerLimits())
