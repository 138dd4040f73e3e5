"""Admits new jobs, and rejects them while this entry cannot store them.

A job is accepted only after it has been stored. If this entry made a
submission wait for a store that is known to be unreachable, the wait would
use up the time in which another entry could have accepted the job.
"""

from collections.abc import Callable

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import StoreUnavailable
from cactusridge.store.store_clock import StoreClock, StoreTimeUnknown

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
# Longest wait of a submission, in seconds, for the first reply of the store
# since this process started: without it the age of the job is unknown.
FIRST_REPLY_WAIT_S = 0.5
# Retry-After in seconds after that wait while no peer reaches the store.
FIRST_REPLY_RETRY_S = 0.3


class JobAdmission:
    """Rejects jobs without a call to the store while it is unreachable."""

    def __init__(
        self,
        store_lost: Callable[[], bool],
        store_clock: StoreClock,
        clock: Clock,
    ) -> None:
        """``store_lost`` returns whether the store has stopped responding."""
        self._store_lost = store_lost
        self._store_clock = store_clock
        self._clock = clock
        self._peer_report_at: float | None = None

    def record_peer_report(self, has_store: bool) -> None:
        """Record a peer's report on whether it reaches the store."""
        if has_store:
            self._peer_report_at = self._clock.monotonic()

    def check(self, job_id: str) -> None:
        """Raise StoreUnavailable if this entry cannot reach the store."""
        if self._store_lost():
            retry_s = self._note_refusal(job_id, OUTAGE_RETRY_S)
            raise StoreUnavailable(
                'the store is unreachable', retry_after_s=retry_s
            )

    def submission_ms(self, job_id: str) -> int:
        """Return the time of a submission by the store's clock.

        A job that is stamped with another clock would seem to be older or
        newer than it is to every entry. Raises StoreTimeUnknown if the store
        has not replied to this process yet and does not do so soon.
        """
        if not self._store_clock.wait_known(FIRST_REPLY_WAIT_S):
            retry_s = self._note_refusal(job_id, FIRST_REPLY_RETRY_S)
            raise StoreTimeUnknown(retry_after_s=retry_s)
        return self._store_clock.now_ms()

    def should_redirect_callers(self) -> bool:
        """Return whether a peer reaches the store and this entry does not.

        If so, new callers should be sent to another entry: if a third of
        eight entries cannot reach the store, one in eight callers that try
        twice connects to two of these entries.
        """
        return self._store_lost() and self._has_peer_with_store()

    def _has_peer_with_store(self) -> bool:
        if self._peer_report_at is None:
            return False
        return (
            self._clock.monotonic() - self._peer_report_at < PEER_REPORT_VALID_S
        )

    def _note_refusal(self, job_id: str, retry_alone_s: float) -> float:
        """Log a refusal and return its Retry-After in seconds.

        It is ``retry_alone_s`` unless a peer can accept the job.
        """
        has_peer = self._has_peer_with_store()
        retry_s = PEER_RETRY_S if has_peer else retry_alone_s
        logs.emit(
            events.JOB_REFUSED,
            job=job_id,
            store_lost=self._store_lost(),
            time_known=self._store_clock.is_known,
            peer_has_store=has_peer,
            retry_after_s=retry_s,
        )
        return retry_s
