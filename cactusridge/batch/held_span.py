"""A span that this process holds, and every write to its row."""

import random
from collections.abc import Callable, Sequence

import gevent
from gevent.lock import RLock

from cactusridge import events, logs, metrics
from cactusridge.batch.jobs import (
    Progress,
    cancel_key,
    progress_in,
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
GROWTH = 2

Edit = Callable[[Span], Span]


class LeaseLost(CactusridgeError):
    """Another process holds the span now."""

    code = 'lease_lost'
    not_run = True


class JobCancelled(CactusridgeError):
    """The job was cancelled; nothing of it is committed any more."""

    code = 'job_cancelled'
    not_run = True


class HeldSpan:
    """The row of a span under this process's lease.

    Every write is conditional on the row's version, which only this
    holder moves while it holds, and on the absence of a cancel row. The
    version at the taking is the fencing number.
    """

    def __init__(
        self,
        cfg: BatchSettings,
        table: Table,
        clock: Clock,
        span: Span,
        version: int,
    ) -> None:
        """Hold ``span``, whose row has ``version``, once taken."""
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
        """Take the lease and note the chunks that begin at once."""
        self._write(
            lambda span: span._replace(
                holder=holder,
                holders=span.holders + 1,
            ).begin(first),
        )
        self.fence = self._version

    def renew(self) -> None:
        """Hold on to the lease."""
        self._write(lambda span: span)

    def commit(
        self,
        chunk: int,
        found: ChunkResult,
        following: Sequence[int],
    ) -> None:
        """Point the row at a chunk's result; note the chunks begun next."""
        self._write(
            lambda span: span._replace(
                done={**span.done, str(chunk): list(found)},
            ).begin(following),
        )

    def mark(self, chunk: int, item: int) -> None:
        """Note that ``item`` of a suspect ``chunk`` runs alone now."""
        name = f'{chunk}/{item}'
        self._write(
            lambda span: span._replace(
                marks={**span.marks, name: span.marks.get(name, 0) + 1},
            ),
        )

    def hand_back(self) -> None:
        """Give the lease up, so that another need not wait for it.

        The chunks in work were ended on purpose, so they do not count
        as begun by a holder that was lost.
        """
        self._write(lambda span: span._replace(holder='').unbegin())
        logs.emit(events.SPAN_HANDED_BACK, span=self.span.name)

    def close(self, cancelled: bool) -> None:
        """Move the span to the closed ones and count it in the job."""
        with self._lock:
            self._retrying(lambda: self._close(cancelled))
        logs.emit(
            events.SPAN_CLOSED,
            span=self.span.name,
            cancelled=cancelled,
        )

    def _write(self, edit: Edit) -> None:
        with self._lock:
            write_id = new_id('w', self._clock)
            span = edit(self.span)._replace(write_id=write_id)
            self._retrying(lambda: self._transact(span))

    def _transact(self, span: Span) -> None:
        sent = self._clock.monotonic()
        cancel = Condition(cancel_key(span.job), ABSENT)
        try:
            version = self._table.transact(
                [Condition(self.key, self._version), cancel],
                [Write(self.key, span._asdict())],
                Priority.lease,
            )
        except ConditionFailed as exc:
            version = self._resolve(exc, span)
        self._version = version
        self.span = span
        self.lease.renewed(sent)

    def _resolve(self, exc: ConditionFailed, span: Span) -> int:
        """Return the version if an earlier try took effect; else raise."""
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
        if self._reader.there(done_row):
            # An earlier try took effect, or another closed the span.
            return
        counted = self._reader.read(progress_row, progress_in)
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
            self._explain_close(exc, progress_row.key)

    def _closing_rows(self) -> tuple[Row, Row]:
        keys = [
            progress_key(self.span.job),
            done_key(self.span.job, self.span.number),
        ]
        rows = by_key(self._table.read(keys, Priority.commit))
        return rows[keys[0]], rows[keys[1]]

    def _explain_close(self, exc: ConditionFailed, progress: str) -> None:
        if cancel_key(self.span.job) in exc.rows:
            raise JobCancelled from exc
        if self.key in exc.rows:
            done_row = self._closing_rows()[1]
            if not self._reader.there(done_row):
                raise LeaseLost from exc
            return
        # Only the count moved: another span of the job was closed.
        raise WriteUnknown(f'{progress} moved') from exc

    def _retrying(self, write: Callable[[], None]) -> None:
        """Repeat ``write`` until the store says how it ended.

        The condition on the row's version makes this safe: whichever
        try takes effect first makes all others fail.
        """
        pause_s = FIRST_PAUSE_S
        while True:
            try:
                write()
            except (StoreUnavailable, WriteUnknown):
                gevent.sleep(self._rng.uniform(pause_s / 2, pause_s))
                pause_s = min(MAX_PAUSE_S, pause_s * GROWTH)
                continue
            return
