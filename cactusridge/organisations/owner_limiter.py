"""Rate limiter that counts each organisation at a single owner entry."""

from cactusridge import events, logs
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
# How often, and after how many seconds, a request is sent again to an owner
# that responds but does not count yet.
OWNER_RETRIES = 2
OWNER_RETRY_S = 0.02
# Seconds after the start of the process for which requests wait until it has
# read the members. It takes requests as soon as it can place them.
START_S = 1.0
START_RETRIES = round(START_S / OWNER_RETRY_S)


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
        self._started_until = clock.monotonic() + START_S
        # The entry that counted an organisation's last request.
        self._counted_by: dict[str, str] = {}
        self._backoff_until: dict[str, float] = {}
        # Entries in backoff whose process is known to have exited.
        self._ended: set[str] = set()

    def take(self, name: str, limit: RateLimit, version: int) -> float:
        """Request a token from the owner, then from each backup owner.

        Returns 0, or the seconds until a token is available. Raises
        LimitUnavailable if no entry counted the request.
        """
        self._counted_by.pop(name, None)
        request = LimitRequest(name, limit, version)
        asked = []
        for entry in self._ranked_entries(name):
            reply = self._request_patiently(entry, request)
            if reply is not None and reply.counted:
                return reply.wait_s
            asked.append(f'{entry} {_shown(reply)}')
            first = not request.as_backup
            owners_exited = (
                first or request.owners_exited
            ) and self._is_known_ended(entry)
            request = request._replace(
                as_backup=True, owners_exited=owners_exited
            )
        logs.emit(events.LIMIT_UNCOUNTED, organisation=name, asked=asked)
        raise LimitUnavailable

    def counted_by(self, name: str) -> str:
        """Return the entry that counted the last request, '' if none did."""
        return self._counted_by.get(name, '')

    def return_token(self, name: str, counted_by: str) -> None:
        """Return a token to the entry that counted the request, if any.

        The datagram is not acknowledged: if it is lost, the organisation
        loses that one token.
        """
        if counted_by == self._own_name:
            self._counter.return_token(name)
        elif counted_by:
            self._client.return_token(counted_by, name)

    def _ranked_entries(self, name: str) -> list[str]:
        """Return the owner and the backup owners.

        A new process waits for the first read of the members.
        """
        for _ in range(START_RETRIES):
            ranked = self._owners.ranked_entries(name)
            if ranked or self._clock.monotonic() >= self._started_until:
                return ranked
            self._client.pause(OWNER_RETRY_S)
        return []

    def _is_known_ended(self, entry: str) -> bool:
        """Return whether ``entry`` is in backoff and known to have exited."""
        # An entry with an old list may not know who counts now.
        if entry not in self._ended or not self._owners.is_current():
            return False
        return self._backoff_until.get(entry, 0) > self._clock.monotonic()

    def _request_patiently(
        self, entry: str, request: LimitRequest
    ) -> LimitResponse | None:
        """Request a token, again if an owner is about to take over.

        It needs one round trip to the previous owner before it counts.
        """
        reply = self._request_following(entry, request)
        if request.as_backup:
            return reply
        for _ in range(OWNER_RETRIES):
            if reply is None or reply.counted:
                return reply
            self._client.pause(OWNER_RETRY_S)
            reply = self._request_following(entry, request)
        return reply

    def _request_following(
        self, entry: str, request: LimitRequest
    ) -> LimitResponse | None:
        """Request a token from an entry, or from the one that it names.

        That one is not followed further, so a request costs at most two
        round trips for each ranked entry.
        """
        reply = self._request(entry, request)
        if reply is not None and reply.counted:
            self._counted_by[request.name] = entry
        if reply is None or reply.moved_to in {'', entry}:
            return reply
        moved_to = reply.moved_to
        followed = self._request(moved_to, request)
        if followed is None or not followed.counted:
            return reply
        self._counted_by[request.name] = moved_to
        return followed

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


def _shown(reply: LimitResponse | None) -> str:
    """Return what an entry responded that did not count a request."""
    if reply is None:
        return 'is silent'
    return f'names {reply.moved_to or "no other one"}'
