"""Records batch items against two objectives: due time and exactly once."""

import random

from cactusridge import events, logs
from cactusridge.batch.audit import audit_span
from cactusridge.batch.span import ChunkResult, Span
from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError
from cactusridge.slo.recorder import SloRecorder
from cactusridge.slo.window import GoodBadCounts
from cactusridge.store.object_store import ObjectStore


class BatchAccounts:
    """Records the items of committed chunks and audits some closed spans."""

    def __init__(
        self,
        recorder: SloRecorder,
        objects: ObjectStore,
        audit_share: float,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Record with ``recorder`` and audit closed spans at random.

        ``audit_share`` is the probability (0 to 1) that a span is audited.
        """
        self._recorder = recorder
        self._objects = objects
        self._audit_share = audit_share
        self._clock = clock
        self._rng = rng

    def committed(self, span: Span, found: ChunkResult) -> None:
        """Record a committed chunk's items as good, or as bad if late."""
        done = found.ok + found.failed
        late = self._clock.wall() > span.due
        items = GoodBadCounts(0, done) if late else GoodBadCounts(done, 0)
        self._recorder.record_due_items(span.service, items)

    def closed(self, span: Span) -> None:
        """Audit a closed span with the configured probability.

        Errors of the audit are logged and not raised.
        """
        if self._rng.random() >= self._audit_share:
            return
        try:
            items = audit_span(self._objects, span)
        except CactusridgeError as exc:
            logs.emit(events.REPORT_LATE, span=span.name, error=str(exc))
            return
        if items.bad:
            logs.emit(
                events.ITEM_RESULT_COUNT_WRONG, span=span.name, items=items.bad
            )
        self._recorder.record_exactly_once_items(span.service, items)
