"""The heads of all jobs, as the store last told of them."""

from collections.abc import Callable

from cactusridge.jobs.keys import head_key
from cactusridge.jobs.model import JobHead, head_of
from cactusridge.store.row_reader import RowReader
from cactusridge.store.table import ABSENT, Row
from cactusridge.store.table_follower import TableListener
from cactusridge.store.unreadable import UnreadableRecord

TABLE = 'jobs'


def head_in(row: Row) -> JobHead:
    """Return the head in a row; raise UnreadableField."""
    return head_of(row.key.rpartition('/')[-1], row.value or {}, row.version)


class JobHeads(TableListener):
    """Keeps the newest head of each job; tells who listens of changes.

    A job whose head cannot be read is not known here: its callers are
    answered from the row itself, nobody takes or removes it, and its
    holder, if it has one, goes on.
    """

    def __init__(self) -> None:
        """Know no job."""
        self._heads: dict[str, JobHead] = {}
        self._on_change: Callable[[JobHead], None] | None = None
        self._reader = RowReader()
        # Versions of heads that cannot be read, by job.
        self._unreadable: dict[str, int] = {}

    def on_change(self, listener: Callable[[JobHead], None]) -> None:
        """Call ``listener`` with each head that is newer than the last."""
        self._on_change = listener

    def put(self, row: Row) -> None:
        """Take a head from the store."""
        job_id = row.key.rpartition('/')[-1]
        if row.key != head_key(job_id):
            self._reader.report(row, 'no place of a head')
            return
        try:
            head = self._reader.read(row, head_in)
        except UnreadableRecord:
            self._heads.pop(job_id, None)
            self._unreadable[job_id] = row.version
            return
        if head is None:
            self._heads.pop(job_id, None)
            self._unreadable.pop(job_id, None)
            return
        self.note(head)

    def keep_only(self, keys: set[str]) -> None:
        """Forget jobs that are no longer in the store."""
        for known in (self._heads, self._unreadable):
            for job_id in list(known):
                if head_key(job_id) not in keys:
                    known.pop(job_id)

    def note(self, head: JobHead) -> None:
        """Take a head if it is newer than what is known of the job."""
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
        """Return a job's head if it is known here."""
        return self._heads.get(job_id)

    def every(self) -> list[JobHead]:
        """Return the heads of all jobs."""
        return list(self._heads.values())
