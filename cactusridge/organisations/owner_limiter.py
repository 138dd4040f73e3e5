"""Rate limiter that counts each organisation at a single owner entry."""

from cactusridge.clock import Clock
from cactusridge.organisations.errors import LimitUnavailable
from cactusridge.organisations.limit_counter import LimitCounter
from cactusridge.organisations.limit_messages import (
    LimitClient,
    LimitRequest,
    LimitResponse,
)
from cactusridge.organisations.limit_owners import LimitOwners
from cactusridge.organisations.limiter import Limiter
from cactusridge.organisations.organisation import RateLimit

# Seconds without further requests to an entry that sent no response.
PEER_BACKOFF_S = 0.5


class OwnerLimiter(Limiter):
    """Requests a token from an organisation's owner for every call.

    Each call costs one request and one response datagram, plus one copy
    of the remaining tokens to each of the two backup owners, whatever the
    size of the fleet. Tokens are never allotted to entries in advance, so
    none lie unused at an entry without callers or are lost in a crash.
    """

    def __init__(
        self,
        own_name: str,
        owners: LimitOwners,
        counter: LimitCounter,
        client: LimitClient,
        clock: Clock,
    ) -> None:
        """Create the limiter of the entry whose address is ``own_name``.

        ``counter`` counts the requests that this entry itself owns; ``client``
        sends requests to the other entries.
        """
        self._own_name = own_name
        self._owners = owners
        self._counter = counter
        self._client = client
        self._clock = clock
        self._backoff_until: dict[str, float] = {}
        # Entries in backoff whose process is known to have exited.
        self._ended: set[str] = set()

    def take(self, name: str, limit: RateLimit, version: int) -> float:
        """Request a token from the owner, then from each backup owner.

        Returns 0, or the seconds until a token is available. Raises
        LimitUnavailable if no entry counted the request.
        """
        request = LimitRequest(name, limit, version)
        for entry in self._owners.ranked_entries(name):
            reply = self._request(entry, request)
            if reply is not None and reply.counted:
                return reply.wait_s
            first = not request.as_backup
            owners_exited = (
                first or request.owners_exited
            ) and self._is_known_ended(entry)
            request = request._replace(
                as_backup=True, owners_exited=owners_exited
            )
        raise LimitUnavailable

    def return_token(self, name: str) -> None:
        """Return a token to the owner.

        The datagram is not acknowledged: if it is lost, the organisation
        loses that one token.
        """
        owner = self._owners.ranked_entries(name)[0]
        if owner == self._own_name:
            self._counter.return_token(name)
        else:
            self._client.return_token(owner, name)

    def _is_known_ended(self, entry: str) -> bool:
        """Return whether ``entry`` is in backoff and known to have exited."""
        if entry not in self._ended:
            return False
        return self._backoff_until.get(entry, 0) > self._clock.monotonic()

    def _request(
        self, entry: str, request: LimitRequest
    ) -> LimitResponse | None:
        if entry == self._own_name:
            return self._counter.count(request)
        if self._backoff_until.get(entry, 0) > self._clock.monotonic():
            return None
        reply = self._client.request(entry, request)
        if reply is None:
            backoff_until = self._clock.monotonic() + PEER_BACKOFF_S
            self._backoff_until[entry] = backoff_until
            self._record_end(entry)
        return reply

    def _record_end(self, entry: str) -> None:
        """Record whether an unresponsive entry's process has exited."""
        if self._client.has_exited(entry):
            self._ended.add(entry)
        else:
            self._ended.discard(entry)
