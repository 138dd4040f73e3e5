"""Counts requests of organisations at their owner and backup owners."""

from collections.abc import Callable

from cactusridge import metrics
from cactusridge.clock import Clock
from cactusridge.organisations.limit_copies import LimitCopies
from cactusridge.organisations.limit_count import (
    BURST_TOLERANCE,
    LimitCount,
    with_tolerance,
)
from cactusridge.organisations.limit_handover import LimitHandover
from cactusridge.organisations.limit_holds import LimitHolds
from cactusridge.organisations.limit_messages import (
    NOT_COUNTED,
    LimitCopy,
    LimitRequest,
    LimitResponse,
)
from cactusridge.organisations.limit_owners import LimitOwners
from cactusridge.organisations.token_bucket import TokenBucket

# Tokens that a new owner starts with, in addition to BURST_TOLERANCE: the
# number of seconds at the limit's rate.
TAKEOVER_START_S = 0.25
# Seconds since the last change of the possible owners after which no other
# entry has any counts: longer than a handover is valid.
UNCHANGED_S = 12.0


class LimitCounter:
    """Counts requests that this entry and others send to it for counting.

    After each request the owner sends the remaining tokens to the backup
    owners. A backup owner continues from that copy once the owner's process
    is known to have exited or the owner has left the membership list. Until
    then the owner may still be counting for entries that the backup owner
    cannot reach, so the backup owner admits only a few requests. A new owner
    asks the previous one for its counts. If there is no answer and no copy
    it starts with few tokens, because it does not know what the previous
    owner admitted; so the two together stay within the limit.
    """

    def __init__(self, owners: LimitOwners, clock: Clock) -> None:
        """Count organisations that ``owners`` assigns to this entry."""
        self.holds = LimitHolds(owners)
        self._owners = owners
        self._clock = clock
        self._changes = owners.changes
        self._copies = LimitCopies(clock)
        self._handover: LimitHandover | None = None
        self._counted_listener: Callable[[LimitCopy], None] | None = None

    def on_counted(self, listener: Callable[[LimitCopy], None]) -> None:
        """Call ``listener`` with the remaining tokens after each request."""
        self._counted_listener = listener

    def connect_handover(self, handover: LimitHandover) -> None:
        """Hand over counts instead of dropping them when the owner changes."""
        self._handover = handover

    def count(self, request: LimitRequest) -> LimitResponse:
        """Count a request if this entry is the owner or a backup owner.

        Otherwise the response has ``counted`` set to False.
        """
        self._drop_foreign_counts()
        found = self.holds.usable(request.name) or self._started(request)
        if found is not None:
            now = self._clock.monotonic()
            limit = with_tolerance(request.limit)
            found.apply_version(limit, request.version, now)
            found.bucket.charge(self._copies.pop_uncharged(request.name))
            wait_s = found.bucket.take(now)
            self._send_copy(request, found)
            return LimitResponse(counted=True, wait_s=wait_s)
        ceded_to = self.holds.ceded_to(request.name)
        if request.as_backup and ceded_to is None:
            return self._count_as_backup(request)
        if self._handover is None:
            return NOT_COUNTED
        return NOT_COUNTED._replace(moved_to=self._moved_to(request.name))

    def return_token(self, name: str) -> None:
        """Return the token of a request that has not run."""
        found = self.holds.usable(name)
        if found is not None:
            found.bucket.put_back()

    def charge(self, name: str, requests: int) -> None:
        """Count requests that a backup owner has admitted."""
        found = self.holds.usable(name)
        if found is not None:
            found.bucket.charge(requests)

    def pop_uncharged(self, name: str) -> int:
        """Return what this entry has admitted as a backup owner, once.

        It is to be sent to the entry that counts the organisation again.
        """
        return self._copies.pop_uncharged(name)

    def store_copy(self, copy: LimitCopy) -> None:
        """Store the remaining tokens unless this entry itself counts."""
        self._drop_foreign_counts()
        if not self._owners.is_ranked(copy.name):
            return
        if self.holds.usable(copy.name) is None:
            self._copies.store(copy)

    def _started(self, request: LimitRequest) -> LimitCount | None:
        """Start to count an organisation if this entry is its owner."""
        name = request.name
        owned_s = self._owners.owned_s(name)
        may_start = (
            self._may_start_early(name)
            if owned_s is None
            else self._may_start(name, owned_s)
        )
        if not may_start:
            return None
        found = self._copies.pop(name)
        if found is None:
            limit = with_tolerance(request.limit)
            first = BURST_TOLERANCE + limit.rate_per_s * (
                TAKEOVER_START_S + (owned_s or 0)
            )
            now = self._clock.monotonic()
            bucket = TokenBucket(limit, min(limit.burst, first), now)
            found = LimitCount(bucket, request.version)
        self.holds.hold(name, found)
        if self._handover is not None:
            self._handover.takeovers.forget([name])
        metrics.LIMIT_HANDOVERS.inc({'outcome': 'started'})
        return found

    def _may_start(self, name: str, owned_s: float) -> bool:
        """Return whether no other entry has counts of an organisation."""
        own = self._owners.own
        if self._handover is None or own is None:
            return True
        takeovers = self._handover.takeovers
        receiver = self.holds.ceded_to(name)
        if receiver is not None:
            takeovers.is_settled(name, own, receiver)
            return False
        predecessor = self._owners.predecessor(name)
        if owned_s > UNCHANGED_S:
            predecessor = None
        return predecessor is None or takeovers.is_settled(
            name, own, predecessor
        )

    def _may_start_early(self, name: str) -> bool:
        """Return whether the previous owner has confirmed that nobody counts.

        An entry that joined need not wait then until it counts in its own
        right.
        """
        if self._handover is None or not self._owners.may_start_early(name):
            return False
        after = self._owners.after_own(name)
        own = self._owners.own
        if after is None or own is None or self.holds.ceded_to(name):
            return False
        takeovers = self._handover.takeovers
        is_settled = takeovers.is_settled(name, own, after)
        return is_settled and takeovers.is_declined(name, after)

    def _moved_to(self, name: str) -> str:
        """Return the entry that counts an organisation instead, or ''."""
        found = self.holds.ceded_to(name)
        if found is None:
            found = self._owners.first(name)
        if found == self._owners.own:
            found = self._owners.predecessor(name)
        return '' if found is None else found.name

    def _count_as_backup(self, request: LimitRequest) -> LimitResponse:
        """Count a request as a backup owner of an unresponsive owner."""
        response = self._copies.count(request)
        continued = self._copies.continued(request)
        if continued is not None:
            self._send_copy(request, continued)
        return response

    def _send_copy(self, request: LimitRequest, count: LimitCount) -> None:
        if self._counted_listener is not None:
            tokens = count.bucket.tokens
            copy = LimitCopy(
                request.name, request.limit, request.version, tokens
            )
            self._counted_listener(copy)

    def _drop_foreign_counts(self) -> None:
        """Drop what belongs to organisations that moved to other entries."""
        if self._owners.changes == self._changes:
            return
        self._changes = self._owners.changes
        for copied in self._copies.names():
            if not self._owners.is_ranked(copied):
                self._copies.pop(copied)
        if self._handover is None:
            for name in self.holds.names():
                if self._owners.owned_s(name) is None:
                    self.holds.drop(name)
