"""The ledger of batch jobs: rows of the store under conditions.

A job's rows share a part of their tables, so that one transaction covers
them. Every write of a holder depends on the version of the progress row,
which a take-over changes: a holder that has lost the job cannot list a
result, whatever it believes.
"""

import contextlib
from collections.abc import Sequence

from cactusridge.clock import Clock
from cactusridge.errors import (
    NotFound,
    OutcomeUnknown,
    StoreUnavailable,
)
from cactusridge.identity import new_id
from cactusridge.jobs.heads import head_in
from cactusridge.jobs.hold_writer import HoldLost, HoldWriter
from cactusridge.jobs.keys import (
    head_key,
    partial_prefix,
    progress_key,
    result_prefix,
)
from cactusridge.jobs.model import (
    JobHead,
    JobItem,
    JobState,
    Partial,
    Progress,
    Result,
    head_value,
)
from cactusridge.jobs.payloads import Payloads
from cactusridge.jobs.result_rows import ResultReader
from cactusridge.jobs.step import (
    Step,
    partial_in,
    progress_after,
    progress_in,
    progress_value,
    step_writes,
)
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

# Results in one transaction; of at most some 23 KB each they stay well
# under a transaction's megabyte and hundred rows.
MAX_COMMIT = 20
# Readings of a head that changes while its job is ended; only a take-over
# changes it, and that seldom twice in a row.
END_TRIES = 8
# Rows removed in one transaction; the store takes a hundred.
MAX_REMOVED = 90
# Characters of unfinished output that a row takes, whatever they are.
MAX_PARTIAL_CHARS = 15_000


class JobLedger:
    """Accepts, takes, commits, ends and reads jobs."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        clock: Clock,
    ) -> None:
        """Keep everything in ``table``, large payloads in ``objects``."""
        self._table = table
        self._writer = HoldWriter(table)
        self._payloads = Payloads(table, objects)
        self._clock = clock
        self._reader = RowReader()
        self._results = ResultReader(table, self._reader)

    def accept(
        self,
        head: JobHead,
        items: Sequence[JobItem],
    ) -> JobHead:
        """Store a job; return its head, which may be that of a resend.

        Raises StoreUnavailable if nothing was stored, OutcomeUnknown if
        that could not be found out.
        """
        write_id = new_id('w', self._clock)
        fresh = Progress([], {}, write_id)
        writes = [
            Write(head_key(head.id), head_value(head)),
            Write(progress_key(head.id), progress_value(fresh)),
            *self._payloads.prepare(head.id, items, write_id),
        ]
        condition = Condition(head_key(head.id), ABSENT)
        version = insert_once(self._table, [condition], writes)
        if version != ABSENT:
            return head._replace(version=version)
        try:
            return self.head(head.id)
        except (StoreUnavailable, UnreadableRecord) as exc:
            # It is stored: nothing may be said that means it is not.
            raise OutcomeUnknown(str(exc), retry_after_s=1) from exc

    def head(self, job_id: str) -> JobHead:
        """Return a job's head.

        Raises NotFound, StoreUnavailable, UnreadableRecord.
        """
        row = self._table.read([head_key(job_id)], Priority.acceptance)[0]
        head = self._reader.read(row, head_in)
        if head is None:
            raise NotFound(f'no job {job_id}')
        return head

    def progress(self, job_id: str) -> Progress:
        """Return what is committed of a job.

        Raises NotFound, StoreUnavailable, UnreadableRecord.
        """
        row = self._table.read([progress_key(job_id)], Priority.lease)[0]
        progress = self._reader.read(row, progress_in)
        if progress is None:
            raise NotFound(f'no job {job_id}')
        return progress

    def items(self, job_id: str) -> list[JobItem]:
        """Return the items of a job.

        Raises NotFound, StoreUnavailable, UnreadableRecord.
        """
        return self._payloads.read(job_id)

    def partials(self, job_id: str) -> list[Partial]:
        """Return the unfinished outputs of a job's items.

        One that cannot be read is left out: its item starts anew.
        """
        rows = self._table.scan(partial_prefix(job_id), Priority.commit)
        return list(self._reader.readable(rows, partial_in))

    def take(self, head: JobHead, holder: str, life: str) -> JobHead:
        """Become the holder; raise HoldLost if another was faster."""
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
        """Let any other entry take the job; raise HoldLost."""
        self._put_head(head._replace(holder='', life=''))

    def commit(
        self,
        job_id: str,
        progress: Progress,
        step: Step,
    ) -> Progress:
        """Take ``step`` from ``progress``; raise HoldLost.

        Raises StoreUnavailable or OutcomeUnknown if it has to be tried
        again, with the same results in the same order.
        """
        following = progress_after(progress, step, new_id('w', self._clock))
        version = self._writer.write(
            [Condition(progress_key(job_id), progress.version)],
            list(step_writes(job_id, progress, following, step)),
            (progress_key(job_id), following.write_id),
        )
        return following._replace(version=version)

    def end(self, job_id: str) -> JobHead:
        """End a job; repeating it is harmless. Raises NotFound."""
        for _ in range(END_TRIES):
            head = self.head(job_id)
            if head.state == JobState.ended:
                return head
            # Where its holder changes meanwhile the newer row counts.
            with contextlib.suppress(HoldLost):
                return self._put_head(head._replace(state=JobState.ended))
        raise OutcomeUnknown('the job changes too fast', retry_after_s=1)

    def close(self, head: JobHead) -> JobHead:
        """Note that every item of the job is listed."""
        return self._put_head(head._replace(state=JobState.closed))

    def results(self, job_id: str, after: int) -> list[Result]:
        """Return results from position ``after`` on, one if there is one.

        Raises StoreUnavailable, and UnreadableRecord if the first cannot
        be read.
        """
        return self._results.page(job_id, after)

    def remove(self, head: JobHead) -> None:
        """Remove a job that nobody may read any more, its head last."""
        writes = self._payloads.drop(head.id)
        for prefix in (result_prefix(head.id), partial_prefix(head.id)):
            rows = scan_all(self._table, prefix, Priority.report)
            writes.extend(Write(row.key, None) for row in rows)
        for start in range(0, len(writes), MAX_REMOVED):
            part = writes[start : start + MAX_REMOVED]
            self._table.transact([], part, Priority.report)
        self._writer.write(
            [Condition(head_key(head.id), head.version)],
            [
                Write(head_key(head.id), None),
                Write(progress_key(head.id), None),
            ],
            None,
        )

    def _put_head(self, head: JobHead) -> JobHead:
        """Write a head over the version that it was read with."""
        version = self._writer.write(
            [Condition(head_key(head.id), head.version)],
            [Write(head_key(head.id), head_value(head))],
            None,
        )
        return head._replace(version=version)
