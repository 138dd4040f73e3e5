"""Counts batch items against the objectives: due time, exactly once."""

import random

from cactusridge import events, logs
from cactusridge.batch.audit import audit_span
from cactusridge.batch.span import ChunkResult, Span
from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError
from cactusridge.slo.recorder import SloRecorder
from cactusridge.slo.window import Quantity
from cactusridge.store.object_store import ObjectStore


class BatchAccounts:
    """Told of commits and closed spans; audits a share of the latter."""

    def __init__(
        self,
        recorder: SloRecorder,
        objects: ObjectStore,
        audit_share: float,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Record with ``recorder``; read ``audit_share`` of the spans."""
        self._recorder = recorder
        self._objects = objects
        self._audit_share = audit_share
        self._clock = clock
        self._rng = rng

    def committed(self, span: Span, found: ChunkResult) -> None:
        """Count a chunk's items as done by their due time, or late."""
        done = found.ok + found.failed
        late = self._clock.wall() > span.due
        items = Quantity(0, done) if late else Quantity(done, 0)
        self._recorder.record_due(span.service, items)

    def closed(self, span: Span) -> None:
        """Read a closed span's results again, one time in so many."""
        if self._rng.random() >= self._audit_share:
            return
        try:
            items = audit_span(self._objects, span)
        except CactusridgeError as exc:
            logs.emit(events.REPORT_LATE, span=span.name, error=str(exc))
            return
        if items.bad:
            logs.emit(events.ITEM_NOT_ONCE, span=span.name, items=items.bad)
        self._recorder.record_once(span.service, items)
