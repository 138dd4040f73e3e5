"""Finds the organisation of a caller by its API key."""

from typing import NamedTuple

from cactusridge.dispatch.catalog import Route
from cactusridge.dispatch.upstream import HeaderList
from cactusridge.organisations.directory import Directory
from cactusridge.organisations.key_check import KeyCheck
from cactusridge.organisations.key_lease import KeyLease
from cactusridge.organisations.limiter import Limiter
from cactusridge.organisations.permit import OPEN_PERMIT, KeyPermit, Permit
from cactusridge.platform.caller_request import CallerRequest
from cactusridge.platform.catalog_holder import CatalogHolder
from cactusridge.store.table_follower import TableFollower

# Age of the last answer to the configuration watch, in seconds, from which an
# unknown route or key may be a new one. The store answers every 1.5 s.
CATALOG_STALE_S = 1.8


class Caller(NamedTuple):
    """The caller of one request.

    ``name`` is that of the caller's organisation, empty without one.
    ``headers`` are the request headers to pass on to the replica.
    ``permit`` is checked each time the request is sent.
    """

    name: str
    headers: HeaderList
    permit: Permit


class CallerResolver:
    """Identifies callers by the configuration in force."""

    def __init__(
        self,
        holder: CatalogHolder,
        follower: TableFollower,
        lease: KeyLease,
        limiter: Limiter,
    ) -> None:
        """Accept keys while ``lease`` is valid; count with ``limiter``.

        ``follower`` is the follower of the configuration row.
        """
        self._holder = holder
        self._keys = KeyCheck(
            lease, lambda: follower.seconds_since_answer() > CATALOG_STALE_S
        )
        self._limiter = limiter

    def resolve(self, call: CallerRequest, route: Route) -> Caller:
        """Return the caller.

        Raises BadRequest, UnknownKey or KeysUnconfirmed.
        """
        catalog = self._holder.catalog
        directory = catalog.organisations
        if directory is None:
            return Caller('', call.headers, OPEN_PERMIT)
        headers = call.headers_without_authorization()
        if route.public:
            return Caller('', headers, OPEN_PERMIT)
        key_holder = self._keys.holder(directory, call.authorization)
        permit = KeyPermit(
            key_holder,
            self._directory,
            self._keys,
            self._limiter,
            catalog.version,
        )
        return Caller(key_holder.organisation.name, headers, permit)

    def organisation_name(self, call: CallerRequest) -> str:
        """Return the name of the caller's organisation.

        It is empty if no organisations are configured. Raises BadRequest,
        UnknownKey or KeysUnconfirmed.
        """
        directory = self._directory()
        if directory is None:
            return ''
        key_holder = self._keys.holder(directory, call.authorization)
        return key_holder.organisation.name

    def _directory(self) -> Directory | None:
        return self._holder.catalog.organisations
