"""Stores batch jobs as rows that are written in conditional transactions.

All rows of a job have the same shard in their keys, so that one transaction
can write them. Every write of a holder is conditional on the version of the
progress row, and a takeover changes that version. An entry that has lost a
job therefore cannot commit a result, even if it still counts itself as the
holder.
"""

import contextlib
from collections.abc import Sequence
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.errors import (
    NotFound,
    OutcomeUnknown,
    StoreUnavailable,
)
from cactusridge.identity import new_id
from cactusridge.jobs.conditional_writer import ConditionalWriter, HoldLost
from cactusridge.jobs.heads import parse_head
from cactusridge.jobs.job_changes import (
    JobChanges,
    parse_checkpoint,
    parse_progress,
    progress_after,
    progress_value,
    step_writes,
)
from cactusridge.jobs.keys import (
    checkpoint_prefix,
    head_key,
    progress_key,
    result_prefix,
)
from cactusridge.jobs.model import (
    Checkpoint,
    JobHead,
    JobItem,
    JobState,
    Progress,
    Result,
    head_value,
)
from cactusridge.jobs.payloads import Payloads
from cactusridge.jobs.result_rows import ResultReader
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.row_reader import RowReader
from cactusridge.store.table import (
    ABSENT,
    Condition,
    Priority,
    Table,
    Write,
    scan_all,
)
from cactusridge.store.unreadable import UnreadableRecord
from cactusridge.store.writer import insert_once

# Maximum number of results in one transaction; large ones are fewer.
MAX_COMMIT_RESULTS = 20
# Maximum number of attempts to end a job whose head changes between the read
# and the write. Only a takeover changes it, seldom twice in a row.
MAX_END_ATTEMPTS = 8
# Maximum number of rows removed in one transaction; the store allows 100.
MAX_ROWS_REMOVED = 90
# Maximum length of a checkpoint's output, in characters of any kind, which
# one row of the store can hold.
MAX_CHECKPOINT_CHARS = 15_000


class Acceptance(NamedTuple):
    """The stored head of a job, and whether this call has stored it.

    After a lost reply a new job may count as one that was stored before.
    """

    head: JobHead
    is_new: bool


class JobLedger:
    """Stores, reads, takes over, commits, ends and removes jobs."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        clock: Clock,
    ) -> None:
        """Store rows in ``table`` and large payloads in ``objects``."""
        self._table = table
        self._writer = ConditionalWriter(table)
        self._payloads = Payloads(table, objects)
        self._clock = clock
        self._reader = RowReader()
        self._results = ResultReader(table, self._reader)

    def accept(
        self,
        head: JobHead,
        items: Sequence[JobItem],
    ) -> Acceptance:
        """Store a job and return its head.

        If a job with this id is stored already, return that job's head.
        Raises StoreUnavailable if nothing was stored, and OutcomeUnknown
        if it is not known whether the job was stored.
        """
        write_id = new_id('w', self._clock)
        initial = Progress([], {}, write_id)
        writes = [
            Write(head_key(head.id), head_value(head)),
            Write(progress_key(head.id), progress_value(initial)),
            *self._payloads.prepare(head.id, items, write_id),
        ]
        condition = Condition(head_key(head.id), ABSENT)
        version = insert_once(self._table, [condition], writes)
        if version != ABSENT:
            return Acceptance(head._replace(version=version), is_new=True)
        try:
            return Acceptance(self.head(head.id), is_new=False)
        except (StoreUnavailable, UnreadableRecord) as exc:
            # The job is stored, so the error must not imply that it is not.
            raise OutcomeUnknown(str(exc), retry_after_s=1) from exc

    def head(self, job_id: str) -> JobHead:
        """Return a job's head.

        Raises NotFound, StoreUnavailable, UnreadableRecord.
        """
        row = self._table.read([head_key(job_id)], Priority.acceptance)[0]
        head = self._reader.read(row, parse_head)
        if head is None:
            raise NotFound(f'no job {job_id}')
        return head

    def progress(self, job_id: str) -> Progress:
        """Return the committed progress of a job.

        Raises NotFound, StoreUnavailable, UnreadableRecord.
        """
        row = self._table.read([progress_key(job_id)], Priority.lease)[0]
        progress = self._reader.read(row, parse_progress)
        if progress is None:
            raise NotFound(f'no job {job_id}')
        return progress

    def items(self, job_id: str) -> list[JobItem]:
        """Return the items of a job.

        Raises NotFound, StoreUnavailable, UnreadableRecord.
        """
        return self._payloads.read(job_id)

    def checkpoints(self, job_id: str) -> list[Checkpoint]:
        """Return the checkpoints of a job's items.

        An unreadable checkpoint is left out, and its item starts again
        without output. Raises StoreUnavailable.
        """
        rows = self._table.scan(checkpoint_prefix(job_id), Priority.commit)
        return list(self._reader.readable(rows, parse_checkpoint))

    def take_over(self, head: JobHead, holder: str, life: str) -> JobHead:
        """Make an entry the holder of a job and return the new head.

        ``holder`` is the entry's name and ``life`` its incarnation.
        Raises HoldLost if another entry has changed the job since ``head``
        was read, NotFound, StoreUnavailable, OutcomeUnknown and
        UnreadableRecord.
        """
        progress = self.progress(head.id)
        taken = head._replace(holder=holder, life=life)
        write_id = new_id('w', self._clock)
        raw = progress_value(progress._replace(write_id=write_id))
        self._writer.write(
            [
                Condition(head_key(head.id), head.version),
                Condition(progress_key(head.id), progress.version),
            ],
            [
                Write(head_key(head.id), head_value(taken)),
                Write(progress_key(head.id), raw),
            ],
            (progress_key(head.id), write_id),
        )
        return self.head(head.id)

    def release(self, head: JobHead) -> None:
        """Clear the holder so that any entry may take over; raise HoldLost."""
        self._replace_head(head._replace(holder='', life=''))

    def commit(
        self,
        job_id: str,
        progress: Progress,
        changes: JobChanges,
    ) -> Progress:
        """Commit ``changes`` after ``progress`` and return the new progress.

        Raises HoldLost if another entry has taken over the job. Raises
        StoreUnavailable or OutcomeUnknown if the caller has to retry with
        the same results in the same order.
        """
        updated = progress_after(progress, changes, new_id('w', self._clock))
        version = self._writer.write(
            [Condition(progress_key(job_id), progress.version)],
            list(step_writes(job_id, progress, updated, changes)),
            (progress_key(job_id), updated.write_id),
        )
        return updated._replace(version=version)

    def end(self, job_id: str) -> JobHead:
        """End a job and return its head; ending an ended job has no effect.

        Raises NotFound, StoreUnavailable, OutcomeUnknown, UnreadableRecord.
        """
        for _ in range(MAX_END_ATTEMPTS):
            head = self.head(job_id)
            if head.state == JobState.ended:
                return head
            # If the holder has changed, the next attempt reads the new head.
            with contextlib.suppress(HoldLost):
                return self._replace_head(head._replace(state=JobState.ended))
        raise OutcomeUnknown(
            'the job changed during every attempt to end it', retry_after_s=1
        )

    def close(self, head: JobHead) -> JobHead:
        """Mark a job whose items are all finished as closed; raise HoldLost."""
        return self._replace_head(head._replace(state=JobState.closed))

    def results(self, job_id: str, after: int) -> list[Result]:
        """Return one page of results from position ``after`` on.

        The page is empty only if no result is stored at that position.
        Raises StoreUnavailable, and UnreadableRecord if the first result
        is unreadable.
        """
        return self._results.page(job_id, after)

    def remove(self, head: JobHead) -> None:
        """Remove all rows of an expired job, its head last."""
        writes = self._payloads.drop(head.id)
        for prefix in (result_prefix(head.id), checkpoint_prefix(head.id)):
            rows = scan_all(self._table, prefix, Priority.report)
            writes.extend(Write(row.key, None) for row in rows)
        for start in range(0, len(writes), MAX_ROWS_REMOVED):
            part = writes[start : start + MAX_ROWS_REMOVED]
            self._table.transact([], part, Priority.report)
        self._writer.write(
            [Condition(head_key(head.id), head.version)],
            [
                Write(head_key(head.id), None),
                Write(progress_key(head.id), None),
            ],
            None,
        )

    def _replace_head(self, head: JobHead) -> JobHead:
        """Replace a head in the store; raise HoldLost if it has changed."""
        version = self._writer.write(
            [Condition(head_key(head.id), head.version)],
            [Write(head_key(head.id), head_value(head))],
            None,
        )
        return head._replace(version=version)
