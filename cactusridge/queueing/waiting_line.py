"""The requests that wait at one entry, within bounds."""

from collections import Counter
from collections.abc import Iterator

from cactusridge.dispatch.catalog import CallerLimits
from cactusridge.dispatch.waiting_summary import WaitingSummary
from cactusridge.queueing.turns import Turns
from cactusridge.queueing.waiting_request import WaitingRequest

# Largest number of requests that wait at an entry. An entry has about as many
# slots as one replica; eight slots serve some 280 requests of 70 ms within the
# 2.5 s that a caller has, so that more could not be served in time.
MAX_REQUESTS = 256
# Largest sum of the bodies of waiting requests, in bytes: eight bodies of the
# largest size that callers may send by default. Without a bound, large bodies
# would exhaust the memory of the process long before MAX_REQUESTS.
MAX_BODY_BYTES = 8 * CallerLimits().body_bytes


class WaitingLine:
    """Waiting requests, with their turns by service."""

    def __init__(
        self,
        max_requests: int = MAX_REQUESTS,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Create an empty line with these bounds."""
        self._max_requests = max_requests
        self._max_body_bytes = max_body_bytes
        # In the order of arrival.
        self._requests: dict[WaitingRequest, None] = {}
        # Those of a service stay when no request waits, with their shares.
        self._turns: dict[str, Turns[WaitingRequest]] = {}
        # Requests and bytes of their bodies, by organisation.
        self._counts: Counter[str] = Counter()
        self._sizes: Counter[str] = Counter()
        self._body_bytes = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Return the waiting requests in the order of arrival."""
        return iter(tuple(self._requests))

    def services(self) -> tuple[str, ...]:
        """Return the services that requests wait for."""
        return tuple(service for service, turns in self._turns.items() if turns)

    def count(self, service: str) -> int:
        """Return the number of requests that wait for a service."""
        return len(self._turns.get(service, ()))

    def add(self, request: WaitingRequest) -> None:
        """Add a request at its place."""
        turns = self._turns.setdefault(request.service, Turns())
        turns.push(request, request.turn)
        self._requests[request] = None
        self._counts[request.turn.organisation] += 1
        self._sizes[request.turn.organisation] += request.body_bytes
        self._body_bytes += request.body_bytes

    def discard(self, request: WaitingRequest) -> None:
        """Remove a request if it waits."""
        turns = self._turns.get(request.service)
        if turns is not None and turns.discard(request):
            self._forget(request)

    def take(self, service: str) -> WaitingRequest:
        """Remove and return the request of a service with the next turn.

        There must be one.
        """
        request = self._turns[service].take()
        self._forget(request)
        return request

    def places(self, service: str) -> dict[WaitingRequest, int]:
        """Return how many requests have their turn before each request."""
        return self._turns[service].places()

    def pop_excess(self) -> Iterator[WaitingRequest]:
        """Remove and yield requests until the line is within its bounds.

        They are the newest of the organisation with the most requests, or
        with the most bytes if only that bound is exceeded, so that one that
        sends too much does not displace the others.
        """
        while self._exceeds_bounds():
            too_many = len(self._requests) > self._max_requests
            held = self._counts if too_many else self._sizes
            organisation = max(held, key=held.__getitem__)
            newest = next(
                request
                for request in reversed(self._requests)
                if request.turn.organisation == organisation
            )
            self.discard(newest)
            yield newest

    def summary(self, now: float) -> list[WaitingSummary]:
        """Return the waiting requests by service, priority, organisation."""
        waited: dict[tuple[str, int, str], list[float]] = {}
        for each in self._requests:
            key = (each.service, each.turn.priority, each.turn.organisation)
            waited.setdefault(key, []).append(now - each.since)
        return [
            WaitingSummary(
                service, organisation, priority, len(times), max(times)
            )
            for (service, priority, organisation), times in sorted(
                waited.items()
            )
        ]

    def _exceeds_bounds(self) -> bool:
        return (
            len(self._requests) > self._max_requests
            or self._body_bytes > self._max_body_bytes
        )

    def _forget(self, request: WaitingRequest) -> None:
        self._requests.pop(request)
        self._body_bytes -= request.body_bytes
        organisation = request.turn.organisation
        self._counts[organisation] -= 1
        self._sizes[organisation] -= request.body_bytes
        if not self._counts[organisation]:
            self._counts.pop(organisation)
            self._sizes.pop(organisation)
