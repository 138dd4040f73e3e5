"""Removes jobs that are over and that nobody may read any more."""

from cactusridge import events, logs
from cactusridge.errors import CactusridgeError
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.ledger import JobLedger
from cactusridge.jobs.model import JobHead, JobState
from cactusridge.jobs.orphans import Orphans
from cactusridge.store.store_clock import MS, StoreClock

# How often an entry looks for such jobs, in seconds.
LOOK_S = 10.0
# Kept this much longer than promised, in seconds: the promise counts
# from the submission as its caller knows it.
MARGIN_S = 60.0
# Removed in one look, so that a pile of old jobs takes no more than a few
# of the store's calls a second.
MAX_AT_ONCE = 10


class Janitor:
    """Removes each old job from one entry, the first by rank."""

    def __init__(
        self,
        ledger: JobLedger,
        heads: JobHeads,
        orphans: Orphans,
        store_clock: StoreClock,
        keep_s: float,
    ) -> None:
        """Keep jobs for ``keep_s`` seconds from their submission."""
        self._ledger = ledger
        self._heads = heads
        self._orphans = orphans
        self._store_clock = store_clock
        self._keep_s = keep_s + MARGIN_S

    def look(self) -> None:
        """Remove some jobs that are due."""
        due = [head for head in self._heads.every() if self._is_due(head)]
        for head in due[:MAX_AT_ONCE]:
            self._remove(head)

    def _is_due(self, head: JobHead) -> bool:
        if head.state == JobState.open or self._orphans.rank(head):
            return False
        age_s = (self._store_clock.now_ms() - head.created_ms) / MS
        return age_s > self._keep_s

    def _remove(self, head: JobHead) -> None:
        try:
            self._ledger.remove(head)
        except CactusridgeError as exc:
            logs.emit(events.TAKE_FAILED, job=head.id, error=str(exc))
            return
        logs.emit(events.JOB_REMOVED, job=head.id, version=head.version)
