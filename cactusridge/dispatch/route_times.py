"""Usual times by service and route."""

from cactusridge.dispatch.usual_time import UsualTime

# Number of pairs of service and route whose times are kept. Routes come and go
# with the configuration for as long as the process runs.
KEPT_ROUTES = 1024


class RouteTimes:
    """The usual time of each pair of service and route."""

    def __init__(self) -> None:
        """Start without times."""
        self._times: dict[tuple[str, str], UsualTime] = {}

    def find(self, service: str, route: str) -> UsualTime | None:
        """Return the usual time of a pair that has been observed."""
        return self._times.get((service, route))

    def at(self, service: str, route: str) -> UsualTime:
        """Return the usual time of a pair, a new one for a new pair.

        The pair observed first is dropped when there are too many.
        """
        key = (service, route)
        if key not in self._times and len(self._times) >= KEPT_ROUTES:
            self._times.pop(next(iter(self._times)))
        return self._times.setdefault(key, UsualTime())
