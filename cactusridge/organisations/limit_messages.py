"""Messages by which entries count organisations' requests at the owner."""

import abc
from typing import NamedTuple

from cactusridge.organisations.organisation import RateLimit


class LimitRequest(NamedTuple):
    """Request to count one call of the organisation ``name``.

    ``version`` is the catalog version that contains ``limit``. ``as_backup``
    is set if the receiver should count as a backup owner, because the owner
    did not respond. ``owners_exited`` is set if the processes of all entries
    that were tried before are known to have exited.
    """

    name: str
    limit: RateLimit
    version: int
    as_backup: bool = False
    owners_exited: bool = False


class LimitResponse(NamedTuple):
    """Response to LimitRequest.

    ``wait_s`` is the number of seconds until the call may run, 0 if it may
    run now. ``counted`` is False if the responding entry does not count
    this organisation; ``wait_s`` has no meaning then.
    """

    counted: bool
    wait_s: float = 0


class LimitCopy(NamedTuple):
    """Copy of the ``tokens`` that an organisation's owner has left.

    ``version`` is the catalog version that contains ``limit``.
    """

    name: str
    limit: RateLimit
    version: int
    tokens: float


NOT_COUNTED = LimitResponse(counted=False)


class LimitClient(abc.ABC):
    """Sends limit requests to other entries."""

    @abc.abstractmethod
    def request(
        self, entry: str, request: LimitRequest
    ) -> LimitResponse | None:
        """Return the response of ``entry``, or None after a timeout."""

    @abc.abstractmethod
    def has_exited(self, entry: str) -> bool:
        """Return whether an unresponsive entry's process has surely exited.

        Returns False for an entry that is unreachable or whose host is
        powered off, because its process may still be running.
        """

    @abc.abstractmethod
    def return_token(self, entry: str, name: str) -> None:
        """Notify ``entry`` that a request it counted has not run."""
