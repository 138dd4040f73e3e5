"""Local copy of all job heads, updated from the store's feed."""

from collections.abc import Callable

from cactusridge.jobs.keys import head_key
from cactusridge.jobs.model import JobHead, parse_head_fields
from cactusridge.start_trace import TRACE, StartStep
from cactusridge.store.row_reader import RowReader
from cactusridge.store.table import ABSENT, Row
from cactusridge.store.table_follower import TableListener
from cactusridge.store.unreadable import UnreadableRecord

JOBS_TABLE = 'jobs'


def parse_head(row: Row) -> JobHead:
    """Parse the head of a job from its row; raise UnreadableField."""
    return parse_head_fields(
        row.key.rpartition('/')[-1], row.value or {}, row.version
    )


class JobHeads(TableListener):
    """Keeps the newest head of each job and notifies a listener of changes.

    A job with an unreadable head is left out. Requests for such a job read
    its row from the store, no entry takes it over or removes it, and its
    holder, if it has one, continues to run it.
    """

    def __init__(self) -> None:
        """Start without any head."""
        self._heads: dict[str, JobHead] = {}
        self._on_change: Callable[[JobHead], None] | None = None
        self._on_read: Callable[[], None] | None = None
        self._reader = RowReader()
        # Version of each unreadable head by job id.
        self._unreadable: dict[str, int] = {}

    def on_change(self, listener: Callable[[JobHead], None]) -> None:
        """Call ``listener`` with each head newer than the known one."""
        self._on_change = listener

    def on_read(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each read of all heads."""
        self._on_read = listener

    def put(self, row: Row) -> None:
        """Update a head from its row; an absent row removes the head."""
        job_id = row.key.rpartition('/')[-1]
        if row.key != head_key(job_id):
            self._reader.log_unreadable(
                row, 'the key is not that of a job head'
            )
            return
        try:
            head = self._reader.read(row, parse_head)
        except UnreadableRecord:
            self._heads.pop(job_id, None)
            self._unreadable[job_id] = row.version
            return
        if head is None:
            self._heads.pop(job_id, None)
            self._unreadable.pop(job_id, None)
            return
        self.update(head)

    def retain(self, keys: set[str]) -> None:
        """Remove the heads whose keys are not in ``keys``."""
        for known in (self._heads, self._unreadable):
            for job_id in list(known):
                if head_key(job_id) not in keys:
                    known.pop(job_id)

    def up_to_date(self, begun_at: float, whole: bool) -> None:
        """Notify the listener of a read of all heads."""
        if not whole:
            return
        TRACE.mark(StartStep.heads)
        if self._on_read is not None:
            self._on_read()

    def update(self, head: JobHead) -> None:
        """Store a head if it is newer than the known version of the job."""
        known = self._heads.get(head.id)
        if known is not None and known.version >= head.version:
            return
        if self._unreadable.get(head.id, ABSENT) >= head.version:
            return
        self._unreadable.pop(head.id, None)
        self._heads[head.id] = head
        if self._on_change is not None:
            self._on_change(head)

    def get(self, job_id: str) -> JobHead | None:
        """Return the head of a job, or None if it is not known."""
        return self._heads.get(job_id)

    def all_heads(self) -> list[JobHead]:
        """Return the heads of all known jobs."""
        return list(self._heads.values())
