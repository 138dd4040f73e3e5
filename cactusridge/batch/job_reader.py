"""Reads the status, results and output of jobs."""

from collections.abc import Iterator

from cactusridge.batch.jobs import (
    Job,
    JobState,
    JobStatus,
    Progress,
    cancel_key,
    cancelled_at,
    parse_progress,
    progress_key,
)
from cactusridge.batch.span import (
    ChunkResult,
    Span,
    done_key,
    parse_span,
    span_key,
)
from cactusridge.clock import Clock
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.row_reader import RowReader
from cactusridge.store.table import Priority, Table, by_key

KEYS_PER_READ = 200


class JobReader:
    """Reads jobs from the rows and objects in the store.

    Any entry can serve any job, because no local state is used.
    """

    def __init__(
        self,
        shards: int,
        table: Table,
        objects: ObjectStore,
        clock: Clock,
    ) -> None:
        """Read open spans, which are spread over ``shards`` shards."""
        self._shards = shards
        self._table = table
        self._objects = objects
        self._clock = clock
        self._reader = RowReader()

    def status(self, job: Job) -> JobStatus:
        """Return the current state and item counts of ``job``.

        Raises UnreadableRecord if any row of the job is unreadable, instead
        of returning counts that leave that row out.
        """
        keys = [progress_key(job.id), cancel_key(job.id)]
        rows = by_key(self._table.read(keys, Priority.report))
        counted = self._reader.read(rows[keys[0]], parse_progress)
        progress = counted or Progress()
        cancelled = self._reader.read(rows[keys[1]], cancelled_at)
        ok, failed = progress.ok, progress.failed
        closed = progress.spans >= job.spans
        if not closed:
            for span in self.spans(job, only_open=True):
                ok += sum(each.ok for each in span.results())
                failed += sum(each.failed for each in span.results())
        return JobStatus(
            job=job,
            state=_state(
                closed,
                cancelled is not None,
                ok + failed == job.items,
            ),
            ok=ok,
            failed=failed,
            cancelled_at=cancelled or 0,
            finished_at=progress.finished,
            at_risk=not closed and self._at_risk(job, ok + failed),
        )

    def spans(self, job: Job, only_open: bool = False) -> Iterator[Span]:
        """Yield the job's spans in order, KEYS_PER_READ spans per read.

        Raises UnreadableRecord.
        """
        for first in range(0, job.spans, KEYS_PER_READ):
            numbers = range(first, min(job.spans, first + KEYS_PER_READ))
            yield from self._spans(job, numbers, only_open)

    def results(self, job: Job) -> Iterator[ChunkResult]:
        """Yield the committed chunk results, in the order of the input."""
        for span in self.spans(job):
            yield from span.results()

    def output(self, job: Job) -> Iterator[bytes]:
        """Yield the committed output lines, as bytes of one chunk each."""
        for found in self.results(job):
            yield self._objects.get(found.name, 0, found.ok_bytes)

    def errors(self, job: Job) -> Iterator[bytes]:
        """Yield the committed error lines, as bytes of one chunk each."""
        for found in self.results(job):
            yield self._objects.get(found.name, found.ok_bytes, found.size)

    def _spans(
        self,
        job: Job,
        numbers: range,
        only_open: bool,
    ) -> list[Span]:
        open_keys = {
            number: span_key(job.id, number, self._shards) for number in numbers
        }
        done_keys = {number: done_key(job.id, number) for number in numbers}
        wanted = list(open_keys.values())
        if not only_open:
            wanted.extend(done_keys.values())
        # Open and closed rows are read together, so that a span that closes
        # during the read is found in one of the two places.
        rows = by_key(self._table.read(wanted, Priority.report))
        found = []
        for number in numbers:
            row = rows[open_keys[number]]
            if not only_open and not self._reader.exists(row):
                row = rows[done_keys[number]]
            span = self._reader.read(row, parse_span)
            if span is not None:
                found.append(span)
        return found

    def _at_risk(self, job: Job, done: int) -> bool:
        """Return whether the job, at its rate so far, would miss its due time.

        ``done`` is the number of items that have a result.
        """
        now = self._clock.wall()
        if now >= job.due:
            return True
        elapsed_s = now - job.created
        if not done or elapsed_s <= 0:
            return False
        left_s = (job.items - done) * elapsed_s / done
        return now + left_s > job.due


def _state(
    closed: bool,
    cancelled: bool,
    whole: bool,
) -> JobState:
    if closed and (whole or not cancelled):
        return JobState.completed
    if cancelled:
        return JobState.cancelled if closed else JobState.cancelling
    return JobState.in_progress
