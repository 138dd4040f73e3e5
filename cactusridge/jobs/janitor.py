"""Removes finished jobs from the store after their retention time."""

from cactusridge import events, logs
from cactusridge.errors import CactusridgeError
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.ledger import JobLedger
from cactusridge.jobs.model import JobHead, JobState
from cactusridge.jobs.orphans import Orphans
from cactusridge.store.store_clock import MS, StoreClock

# Interval in seconds at which an entry checks for jobs to remove.
REMOVAL_POLL_S = 10.0
# Time in seconds for which jobs are kept beyond the promised retention, which
# counts from the submission by the caller's clock.
RETENTION_MARGIN_S = 60.0
# Maximum number of jobs removed in one check, so that many expired jobs cause
# only a few calls to the store per second.
MAX_REMOVED_PER_CHECK = 10


class Janitor:
    """Removes expired jobs; the first entry by rank removes each one."""

    def __init__(
        self,
        ledger: JobLedger,
        heads: JobHeads,
        orphans: Orphans,
        store_clock: StoreClock,
        keep_s: float,
    ) -> None:
        """Keep jobs for at least ``keep_s`` seconds after their submission."""
        self._ledger = ledger
        self._heads = heads
        self._orphans = orphans
        self._store_clock = store_clock
        self._keep_s = keep_s + RETENTION_MARGIN_S

    def remove_expired(self) -> None:
        """Remove a limited number of expired jobs, by the store's time."""
        if not self._store_clock.is_known:
            return
        expired = [
            head
            for head in self._heads.all_heads()
            if self._should_remove(head)
        ]
        for head in expired[:MAX_REMOVED_PER_CHECK]:
            self._remove(head)

    def _should_remove(self, head: JobHead) -> bool:
        if head.state == JobState.open or self._orphans.rank(head):
            return False
        return self._age_s(head) > self._keep_s

    def _age_s(self, head: JobHead) -> float:
        """Return the seconds since the submission of a job."""
        return (self._store_clock.now_ms() - head.created_ms) / MS

    def _remove(self, head: JobHead) -> None:
        try:
            self._ledger.remove(head)
        except CactusridgeError as exc:
            logs.emit(events.TAKE_FAILED, job=head.id, error=str(exc))
            return
        logs.emit(
            events.JOB_REMOVED,
            job=head.id,
            version=head.version,
            age_s=round(self._age_s(head), 3),
        )
