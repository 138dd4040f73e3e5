"""A span that this process holds, and all writes to the span's row."""

import random
from collections.abc import Callable, Sequence

import gevent
from gevent.lock import RLock

from cactusridge import events, logs, metrics
from cactusridge.batch.jobs import (
    Progress,
    cancel_key,
    parse_progress,
    progress_key,
)
from cactusridge.batch.lease import Lease
from cactusridge.batch.span import ChunkResult, Span, done_key, span_key
from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError, StoreUnavailable
from cactusridge.identity import new_id
from cactusridge.startup.models import BatchSettings
from cactusridge.store.row_reader import RowReader
from cactusridge.store.table import (
    ABSENT,
    Condition,
    ConditionFailed,
    Priority,
    Row,
    Table,
    Write,
    WriteUnknown,
    by_key,
)

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 2
BACKOFF_FACTOR = 2

Edit = Callable[[Span], Span]


class LeaseLost(CactusridgeError):
    """Another process has taken over the span's lease."""

    code = 'lease_lost'
    not_run = True


class JobCancelled(CactusridgeError):
    """The job was cancelled; no further results are committed."""

    code = 'job_cancelled'
    not_run = True


class HeldSpan:
    """The row of a span under this process's lease.

    Every write is conditional on the version of the row, which only the
    holder of the lease changes, and on the absence of a cancel row for the
    job. The version that the row has after the lease is taken is the
    fencing number. All methods raise LeaseLost or JobCancelled.
    """

    def __init__(
        self,
        cfg: BatchSettings,
        table: Table,
        clock: Clock,
        span: Span,
        version: int,
    ) -> None:
        """Prepare to take ``span``, whose row has ``version``."""
        self.cfg = cfg
        self.span = span
        self.fence = 0
        self.lease = Lease(cfg, clock, clock.monotonic() - cfg.lease_s)
        self.key = span_key(span.job, span.number, cfg.shards)
        self._table = table
        self._clock = clock
        self._version = version
        self._lock = RLock()
        self._rng = random.Random()  # noqa: S311
        self._reader = RowReader()

    def take(self, holder: str, first: Sequence[int]) -> None:
        """Take the lease and record the chunks that start at once."""
        self._write(
            lambda span: span._replace(
                holder=holder,
                holders=span.holders + 1,
            ).start_chunks(first),
        )
        self.fence = self._version

    def renew(self) -> None:
        """Renew the lease."""
        self._write(lambda span: span)

    def commit(
        self,
        chunk: int,
        found: ChunkResult,
        following: Sequence[int],
    ) -> None:
        """Record a chunk's result and the chunks that start next."""
        self._write(
            lambda span: span._replace(
                done={**span.done, str(chunk): list(found)},
            ).start_chunks(following),
        )

    def mark(self, chunk: int, item: int) -> None:
        """Record that an item of a suspect chunk is about to run alone."""
        name = f'{chunk}/{item}'
        self._write(
            lambda span: span._replace(
                marks={**span.marks, name: span.marks.get(name, 0) + 1},
            ),
        )

    def hand_back(self) -> None:
        """Release the lease, so that others need not wait for its expiry.

        Chunks in progress were stopped on purpose, so they do not count
        as started by a holder that failed.
        """
        self._write(
            lambda span: span._replace(holder='').forget_unfinished_starts()
        )
        logs.emit(events.SPAN_LEASE_RELEASED, span=self.span.name)

    def close(self, cancelled: bool) -> None:
        """Move the span to the closed spans and count it in the progress.

        With ``cancelled`` it is closed even if the job has a cancel row.
        May also raise UnreadableRecord.
        """
        with self._lock:
            self._retry_until_known(lambda: self._close(cancelled))
        logs.emit(
            events.SPAN_CLOSED,
            span=self.span.name,
            cancelled=cancelled,
        )

    def _write(self, edit: Edit) -> None:
        with self._lock:
            write_id = new_id('w', self._clock)
            span = edit(self.span)._replace(write_id=write_id)
            self._retry_until_known(lambda: self._transact(span))

    def _transact(self, span: Span) -> None:
        sent_at = self._clock.monotonic()
        cancel = Condition(cancel_key(span.job), ABSENT)
        try:
            version = self._table.transact(
                [Condition(self.key, self._version), cancel],
                [Write(self.key, span._asdict())],
                Priority.lease,
            )
        except ConditionFailed as exc:
            version = self._resolve_conflict(exc, span)
        self._version = version
        self.span = span
        self.lease.renew(sent_at)

    def _resolve_conflict(self, exc: ConditionFailed, span: Span) -> int:
        """Return the version if an earlier attempt took effect; else raise."""
        if cancel_key(span.job) in exc.rows:
            raise JobCancelled from exc
        row = exc.rows.get(self.key)
        held = row.value if row and row.value else {}
        if row and held.get('write_id') == span.write_id:
            logs.emit(events.WRITE_RESOLVED, key=self.key)
            return row.version
        metrics.LEASE_LOST.inc({})
        raise LeaseLost from exc

    def _close(self, cancelled: bool) -> None:
        progress_row, done_row = self._closing_rows()
        if self._reader.exists(done_row):
            # An earlier attempt or another holder closed the span.
            return
        counted = self._reader.read(progress_row, parse_progress)
        progress = counted or Progress()
        results = self.span.results()
        now = self._clock.wall()
        counted = Progress(
            spans=progress.spans + 1,
            ok=progress.ok + sum(each.ok for each in results),
            failed=progress.failed + sum(each.failed for each in results),
            finished=now,
        )
        conditions = [
            Condition(self.key, self._version),
            Condition(progress_row.key, progress_row.version),
        ]
        if not cancelled:
            cancel = cancel_key(self.span.job)
            conditions.append(Condition(cancel, ABSENT))
        try:
            self._table.transact(
                conditions,
                [
                    Write(self.key, None),
                    Write(done_row.key, self.span._asdict()),
                    Write(progress_row.key, counted._asdict()),
                ],
                Priority.commit,
            )
        except ConditionFailed as exc:
            self._raise_close_failure(exc, progress_row.key)

    def _closing_rows(self) -> tuple[Row, Row]:
        keys = [
            progress_key(self.span.job),
            done_key(self.span.job, self.span.number),
        ]
        rows = by_key(self._table.read(keys, Priority.commit))
        return rows[keys[0]], rows[keys[1]]

    def _raise_close_failure(self, exc: ConditionFailed, progress: str) -> None:
        if cancel_key(self.span.job) in exc.rows:
            raise JobCancelled from exc
        if self.key in exc.rows:
            done_row = self._closing_rows()[1]
            if not self._reader.exists(done_row):
                raise LeaseLost from exc
            return
        # Only the progress row changed: another span of the job was closed.
        raise WriteUnknown(f'{progress} has a newer version') from exc

    def _retry_until_known(self, write: Callable[[], None]) -> None:
        """Repeat ``write`` with backoff until its outcome is known.

        The condition on the row's version makes retries safe: after one
        attempt has taken effect, all other attempts fail.
        """
        pause_s = FIRST_PAUSE_S
        while True:
            try:
                write()
            except (StoreUnavailable, WriteUnknown):
                gevent.sleep(self._rng.uniform(pause_s / 2, pause_s))
                pause_s = min(MAX_PAUSE_S, pause_s * BACKOFF_FACTOR)
                continue
            return
