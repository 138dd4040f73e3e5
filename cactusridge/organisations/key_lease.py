"""Lease that limits how long an entry may use its copy of the API keys.

A revoked key must stop working within a bounded time at every entry, even
at one that cannot reach the store. An entry therefore holds its copy of the
keys under a lease. Each read of the store, by this entry or by a peer,
renews the lease from the time at which that read started.
"""

from cactusridge.clock import Clock
from cactusridge.store.table_follower import REREAD_S

# Seconds by which the lease expires early. Clocks run at slightly different
# rates, and a request is forwarded a moment after its key was checked.
MARGIN_S = 0.2
# Seconds for which a watch may miss changes. It receives none for about a
# second while the store truncates its history, so a response to a watch
# confirms only the state before that interval.
WATCH_GAP_S = 1.2
# Seconds between two full reads of the catalog when the lease can expire.
LEASED_REREAD_S = 3.0


class KeyLease:
    """Tracks when the catalog was last confirmed to be the newest version.

    ``confirmed_at`` is the clock time at which the confirming read started,
    since a change made later may be missing from its result; it is None
    before the first read. The clock must keep running while the host is
    suspended.
    """

    def __init__(self, clock: Clock, duration_s: float | None) -> None:
        """Create a lease of ``duration_s`` seconds.

        With None the lease never expires after the first read.
        """
        self._clock = clock
        self._duration_s = duration_s
        self.confirmed_at: float | None = None

    @property
    def reread_s(self) -> float:
        """Seconds between two full reads of the catalog."""
        return REREAD_S if self._duration_s is None else LEASED_REREAD_S

    def renew(self, started_at: float) -> None:
        """Renew the lease after a read of the catalog.

        ``started_at`` is the time at which the read was started, by this
        entry or by a peer.
        """
        self._confirm(started_at)

    def renew_from_watch(self, started_at: float) -> None:
        """Renew the lease after a response to a watch on the catalog.

        ``started_at`` is the time at which the watch request was sent. The
        response confirms the catalog only up to WATCH_GAP_S before that,
        and nothing if the catalog has not been read yet.
        """
        if self.confirmed_at is not None:
            self._confirm(started_at - WATCH_GAP_S)

    @property
    def valid(self) -> bool:
        """Whether this entry may still use its copy of the keys."""
        if self.confirmed_at is None:
            return False
        if self._duration_s is None:
            return True
        age_s = self._clock.monotonic() - self.confirmed_at
        return age_s < self._duration_s - MARGIN_S

    @property
    def expires(self) -> bool:
        """Whether the lease can expire."""
        return self._duration_s is not None

    def older_than(self, age_s: float) -> bool:
        """Return whether the last confirmation is over ``age_s`` ago.

        Returns False if the catalog has not been read yet.
        """
        if self.confirmed_at is None:
            return False
        return self._clock.monotonic() - self.confirmed_at > age_s

    def _confirm(self, at: float) -> None:
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at
