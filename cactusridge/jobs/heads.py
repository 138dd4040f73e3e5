"""The heads of all jobs, as the store last told of them."""

from collections.abc import Callable

from cactusridge.jobs.model import JobHead, head_of
from cactusridge.store.table import Row
from cactusridge.store.table_follower import TableListener

TABLE = 'jobs'


class JobHeads(TableListener):
    """Keeps the newest head of each job; tells who listens of changes."""

    def __init__(self) -> None:
        """Know no job."""
        self._heads: dict[str, JobHead] = {}
        self._on_change: Callable[[JobHead], None] | None = None

    def on_change(self, listener: Callable[[JobHead], None]) -> None:
        """Call ``listener`` with each head that is newer than the last."""
        self._on_change = listener

    def put(self, row: Row) -> None:
        """Take a head from the store."""
        job_id = row.key.rpartition('/')[-1]
        if row.value is None:
            self._heads.pop(job_id, None)
            return
        self.note(head_of(job_id, row.value, row.version))

    def keep_only(self, keys: set[str]) -> None:
        """Forget jobs that are no longer in the store."""
        kept = {key.rpartition('/')[-1] for key in keys}
        for job_id in set(self._heads) - kept:
            self._heads.pop(job_id)

    def note(self, head: JobHead) -> None:
        """Take a head if it is newer than the one that is known."""
        known = self._heads.get(head.id)
        if known is not None and known.version >= head.version:
            return
        self._heads[head.id] = head
        if self._on_change is not None:
            self._on_change(head)

    def get(self, job_id: str) -> JobHead | None:
        """Return a job's head if it is known here."""
        return self._heads.get(job_id)

    def every(self) -> list[JobHead]:
        """Return the heads of all jobs."""
        return list(self._heads.values())
