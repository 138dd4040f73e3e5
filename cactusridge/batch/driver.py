"""Finds open spans, takes their leases and runs them, for one entry."""

import itertools
import random

import gevent

from cactusridge import events, logs, metrics
from cactusridge.background import run_forever
from cactusridge.batch.accounts import BatchAccounts
from cactusridge.batch.held_span import HeldSpan
from cactusridge.batch.item_runner import ItemRunner
from cactusridge.batch.lease_watch import LeaseWatch
from cactusridge.batch.ordering import URGENT_S, make_order
from cactusridge.batch.placer import BatchPlacer
from cactusridge.batch.shards import own_shards
from cactusridge.batch.span import Span, parse_span, shard_prefix
from cactusridge.batch.span_runner import SpanRunner
from cactusridge.errors import CactusridgeError, StoreUnavailable
from cactusridge.identity import new_id
from cactusridge.sidecar_dispatch.entry_components import EntryComponents
from cactusridge.store.row_reader import RowReader
from cactusridge.store.table import Priority, Row, scan_all

SCAN_JITTER = (0.8, 1.2)


class BatchDriver:
    """Scans shards of the open spans, takes spans and runs them.

    Each entry computes its own shards by rendezvous hashing, without
    messages between entries. An outdated list of entries may cause two
    entries to compete for a span, or a span to be found later, but no item
    gets two results, because a span runs under a lease. Each scan also
    covers one shard of another entry, so that every shard is scanned
    eventually.
    """

    def __init__(self, parts: EntryComponents) -> None:
        """Create a driver that uses the components in ``parts``."""
        self._parts = parts
        self._cfg = parts.cfg.batch
        self._holder = new_id(f'{parts.cfg.address}~', parts.clock)
        self._order = make_order(parts.cfg.policy)
        self._lease_watch = LeaseWatch(self._cfg.lease_s, parts.clock)
        self._rng = random.Random()  # noqa: S311
        self._runners: dict[str, SpanRunner] = {}
        self._greenlets: dict[str, gevent.Greenlet] = {}
        self._foreign_shards = itertools.count(
            self._rng.randrange(self._cfg.shards)
        )
        self._stopping = False
        self._reader = RowReader()
        self._placer = BatchPlacer(
            parts.fleet,
            parts.dispatcher.outliers,
            self._cfg.item_concurrency,
        )
        self._items = ItemRunner(parts.dispatcher, self._placer, parts.clock)
        self._accounts = BatchAccounts(
            parts.recorder,
            parts.objects,
            self._cfg.audit_share,
            parts.clock,
            self._rng,
        )

    def start(self) -> None:
        """Start the greenlets that scan shards and place items."""
        self._parts.greenlets.spawn(run_forever, self._placer.step)
        self._parts.greenlets.spawn(run_forever, self._scan_and_pause)

    def step(self) -> None:
        """Scan once and take spans up to the limit of held spans.

        Raises StoreUnavailable.
        """
        if self._stopping:
            return
        rows = self._open_rows()
        if self._stopping:
            # stop() was called during the scan. It would not hand back a
            # span that is taken after it has signalled the runners.
            return
        readable = self._reader.readable(
            rows,
            lambda row: (row, parse_span(row)),
        )
        available = [
            each for each in readable if self._lease_watch.may_take(each[0])
        ]
        spans = {span.name: row for row, span in available}
        free_capacity = self._cfg.max_spans - len(self._runners)
        held = [runner.held.span for runner in self._runners.values()]
        ranked = self._order.rank(
            [span for _, span in available],
            held,
            self._parts.clock.wall(),
        )
        for span in ranked[: max(0, free_capacity)]:
            if self._placer.waiting and not self._is_urgent(span):
                # Items are already waiting for a replica. Holding more spans
                # would only delay each of them.
                break
            self._take(span, spans[span.name])
        metrics.SPANS_HELD.set({}, len(self._runners))

    def stop(self, bound_s: float) -> None:
        """Hand back all leases, waiting at most ``bound_s`` seconds.

        Items in flight of a repeatable span are stopped, and the next
        holder runs them again; other spans finish the chunks in progress.
        """
        self._stopping = True
        for runner in self._runners.values():
            runner.stopping.set()
        gevent.joinall(list(self._greenlets.values()), timeout=bound_s)

    def held(self) -> list[Span]:
        """Return the spans that this entry holds."""
        return [runner.held.span for runner in self._runners.values()]

    def _scan_and_pause(self) -> None:
        try:
            self.step()
        except StoreUnavailable as exc:
            gevent.sleep(min(1, exc.retry_after_s or 0))
        spread = self._rng.uniform(*SCAN_JITTER)
        gevent.sleep(self._cfg.scan_s * spread)

    def _open_rows(self) -> list[Row]:
        names = self._parts.fleet.entry_names()
        mine = own_shards(
            str(self._parts.cfg.address),
            names,
            self._cfg.shards,
        )
        foreign = next(self._foreign_shards) % self._cfg.shards
        rows: list[Row] = []
        for shard in sorted({*mine, foreign}):
            prefix = shard_prefix(shard)
            rows.extend(scan_all(self._parts.table, prefix, Priority.lease))
        return [row for row in rows if row.key not in self._runners]

    def _is_urgent(self, span: Span) -> bool:
        left_s = span.due - self._parts.clock.wall()
        return left_s < URGENT_S

    def _take(self, span: Span, row: Row) -> None:
        service = self._parts.catalog.by_path(span.service)
        if service is None:
            return
        if span.due - self._parts.clock.wall() < 0:
            logs.emit(events.JOB_AT_RISK, job=span.job, span=span.name)
        held = HeldSpan(
            self._cfg,
            self._parts.table,
            self._parts.clock,
            span,
            row.version,
        )
        runner = SpanRunner(
            held,
            service,
            self._parts.objects,
            self._items,
            self._accounts,
            self._parts.clock,
        )
        self._runners[row.key] = runner
        self._greenlets[row.key] = self._parts.greenlets.spawn(
            self._run,
            row.key,
            runner,
        )

    def _run(self, key: str, runner: SpanRunner) -> None:
        try:
            runner.run(self._holder)
        except CactusridgeError as exc:
            logs.emit(events.TASK_FAILED, span=key, error=repr(exc))
        finally:
            self._runners.pop(key, None)
            self._greenlets.pop(key, None)
