"""What the configuration in force says about waiting calls."""

from collections.abc import Callable

from cactusridge.dispatch.catalog import AcceptedWork, Catalog
from cactusridge.dispatch.online_call import OnlineCall
from cactusridge.errors import NotFound


class CallRules:
    """Looks up calls in the configuration that is in force now."""

    def __init__(self, catalog: Callable[[], Catalog]) -> None:
        """Look up calls in what ``catalog`` returns."""
        self._catalog = catalog

    def priority(self, call: OnlineCall) -> int:
        """Return the priority of the call's organisation, else its route's.

        0 is the highest.
        """
        directory = self._catalog().organisations
        known = directory and directory.named(call.req.organisation)
        if known and known.priority is not None:
            return known.priority
        return call.route.priority

    def check(self, call: OnlineCall) -> None:
        """Raise NotFound if no route is left, else what the permit raises.

        A route may come under another name, or another one that is not of
        batch jobs may cover the path.
        """
        call.permit.check()
        work = AcceptedWork(
            call.route.host,
            call.route.prefix,
            call.req.target.partition('?')[0],
            is_batch=False,
        )
        if self._catalog().route_of(work) is None:
            raise NotFound(f'the route {call.route.name} has been removed')
