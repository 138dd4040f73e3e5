"""Rejects new jobs at once while this entry cannot reach the store.

A job is accepted only after it has been stored. If this entry made a
submission wait for a store that is known to be unreachable, the wait would
use up the time in which another entry could have accepted the job.
"""

from collections.abc import Callable

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import StoreUnavailable

# Time in seconds for which a peer's report that it reaches the store stays
# valid: three intervals of the report.
PEER_REPORT_VALID_S = 1.6
# Retry-After in seconds while a peer reaches the store: the caller's next
# connection most likely goes to such a peer.
PEER_RETRY_S = 0.05
# Retry-After in seconds while no peer reaches the store: an outage of the
# whole store seldom ends sooner, and a caller with a few seconds left before
# its deadline can still retry.
OUTAGE_RETRY_S = 1.0


class JobAdmission:
    """Rejects jobs without a call to the store while it is unreachable."""

    def __init__(self, store_lost: Callable[[], bool], clock: Clock) -> None:
        """``store_lost`` returns whether the store has stopped responding."""
        self._store_lost = store_lost
        self._clock = clock
        self._peer_report_at: float | None = None

    def record_peer_report(self, has_store: bool) -> None:
        """Record a peer's report on whether it reaches the store."""
        if has_store:
            self._peer_report_at = self._clock.monotonic()

    def check(self, job_id: str) -> None:
        """Raise StoreUnavailable if this entry cannot reach the store."""
        if not self._store_lost():
            return
        elsewhere = self.should_redirect_callers()
        retry_s = PEER_RETRY_S if elsewhere else OUTAGE_RETRY_S
        logs.emit(
            events.JOB_REFUSED,
            job=job_id,
            store_lost=True,
            peer_has_store=elsewhere,
            retry_after_s=retry_s,
        )
        raise StoreUnavailable(
            'the store is unreachable', retry_after_s=retry_s
        )

    def should_redirect_callers(self) -> bool:
        """Return whether a peer reaches the store and this entry does not.

        If so, new callers should be sent to another entry: if a third of
        eight entries cannot reach the store, one in eight callers that try
        twice connects to two of these entries.
        """
        if self._peer_report_at is None or not self._store_lost():
            return False
        return (
            self._clock.monotonic() - self._peer_report_at < PEER_REPORT_VALID_S
        )
