"""Whose request it is, by the key that it came with."""

from typing import NamedTuple

from cactusridge.dispatch.catalog import Route
from cactusridge.dispatch.upstream import HeaderList
from cactusridge.organisations.directory import Directory
from cactusridge.organisations.key_check import KeyCheck
from cactusridge.organisations.key_lease import KeyLease
from cactusridge.organisations.limiter import Limiter
from cactusridge.organisations.permit import OPEN, KeyPermit, Permit
from cactusridge.platform.caller_request import CallerRequest
from cactusridge.platform.operator import CatalogHolder
from cactusridge.store.table_follower import TableFollower

# A watch is answered every 1.5 s; without one for longer, a route or key
# that is not known may have been added meanwhile.
STALE_S = 1.8


class Caller(NamedTuple):
    """A caller as one request shows it.

    ``name`` is that of its organisation, empty where it has none;
    ``headers`` are those to be passed on.
    """

    name: str
    headers: HeaderList
    permit: Permit


class Callers:
    """Finds the organisations of callers in the configuration in force."""

    def __init__(
        self,
        holder: CatalogHolder,
        follower: TableFollower,
        lease: KeyLease,
        limiter: Limiter,
    ) -> None:
        """Go by keys while ``lease`` is valid; count with ``limiter``.

        ``follower`` is that of the configuration.
        """
        self._holder = holder
        self._keys = KeyCheck(lease, lambda: follower.silent_s() > STALE_S)
        self._limiter = limiter

    def caller(self, call: CallerRequest, route: Route) -> Caller:
        """Return who sends a request; raise UnknownKey or KeysUnsure."""
        catalog = self._holder.catalog
        directory = catalog.organisations
        if directory is None:
            return Caller('', call.headers, OPEN)
        headers = call.headers_without_key()
        if route.public:
            return Caller('', headers, OPEN)
        found = self._keys.holder(directory, call.authorization)
        permit = KeyPermit(
            found,
            self._directory,
            self._keys,
            self._limiter,
            catalog.version,
        )
        return Caller(found.organisation.name, headers, permit)

    def name(self, call: CallerRequest) -> str:
        """Return the organisation of a call, empty if there are none.

        Raises UnknownKey or KeysUnsure.
        """
        directory = self._directory()
        if directory is None:
            return ''
        found = self._keys.holder(directory, call.authorization)
        return found.organisation.name

    def _directory(self) -> Directory | None:
        return self._holder.catalog.organisations
