"""Runs one item until it has a final outcome."""

import gevent

from cactusridge import events, logs, metrics
from cactusridge.batch import item_outcome
from cactusridge.batch.held_span import LeaseLost
from cactusridge.batch.item_outcome import ItemOutcome
from cactusridge.batch.lines import Item
from cactusridge.batch.permit import DispatchPermit
from cactusridge.batch.placer import BatchPlacer
from cactusridge.clock import Clock
from cactusridge.errors import (
    BadRequest,
    CactusridgeError,
    NoReplica,
    OutcomeUnknown,
    Quarantined,
)
from cactusridge.orders import Fence, WorkClass
from cactusridge.settings.catalog import Service
from cactusridge.sidecar_dispatch.dispatch import Buffering, Dispatch
from cactusridge.sidecar_dispatch.dispatcher import Dispatcher

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 2
GROWTH = 2
SERVER_FAULT = 500
TOO_MANY = 429
OK = 200


class ItemExhausted(CactusridgeError):
    """The item failed as often as the service allows."""

    code = 'item_attempts_exhausted'


class ItemMayHaveRun(CactusridgeError):
    """The item may have run, and the service's calls are not repeated."""

    code = 'item_outcome_unknown'


class ItemTask:
    """One item, the span it belongs to and how often it was tried."""

    def __init__(
        self,
        item: Item,
        item_id: str,
        service: Service,
        slack_s: float,
        fence: Fence,
    ) -> None:
        """Run ``item`` of ``service`` under ``fence``."""
        self.item = item
        self.id = item_id
        self.service = service
        self.slack_s = slack_s
        self.fence = fence
        self.attempts = 0


class ItemRunner:
    """Sends items to replicas with room and judges their failures."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        placer: BatchPlacer,
        clock: Clock,
    ) -> None:
        """Place items with ``placer``."""
        self._dispatcher = dispatcher
        self._placer = placer
        self._clock = clock

    def run(self, task: ItemTask, permit: DispatchPermit) -> ItemOutcome:
        """Return the final outcome; raise LeaseLost once not permitted."""
        pause_s = FIRST_PAUSE_S
        while True:
            permit.wait()
            try:
                return self._try(task, permit)
            except LeaseLost:
                raise
            except CactusridgeError as exc:
                final = self._judge(task, exc)
            if final is not None:
                return final
            gevent.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, pause_s * GROWTH)

    def _try(self, task: ItemTask, permit: DispatchPermit) -> ItemOutcome:
        self._dispatcher.check(self._dispatch(task))
        with self._placer.place(task.service, task.slack_s) as replica:
            permit.check()
            # Its time counts from here, not from the wait for a place.
            dispatch = self._dispatch(task)
            attempt = self._dispatcher.attempt(dispatch, replica)
            body = attempt.whole()
        if attempt.status >= SERVER_FAULT or attempt.status == TOO_MANY:
            raise OutcomeUnknown(f'the upstream answered {attempt.status}')
        self._count(task, 'ok' if attempt.status == OK else 'refused')
        return item_outcome.answered(
            task.id,
            task.item.custom_id,
            attempt.status,
            body,
        )

    def _dispatch(self, task: ItemTask) -> Dispatch:
        settings = task.service.settings
        return Dispatch(
            service=task.service,
            team=task.service.team,
            work=WorkClass.batch,
            method='POST',
            path=task.item.url,
            headers=(('content-type', 'application/json'),),
            body=task.item.body,
            deadline_at=self._clock.monotonic() + settings.item_timeout_s,
            repeatable=settings.repeatable,
            buffering=Buffering.whole,
            slack_s=task.slack_s,
            solo=task.attempts > 0,
            fence=task.fence,
        )

    def _judge(
        self,
        task: ItemTask,
        exc: CactusridgeError,
    ) -> ItemOutcome | None:
        """Return a final failure, or None when the item may go again."""
        settings = task.service.settings
        if isinstance(exc, Quarantined):
            return self._fail(task, exc)
        if exc.not_run or isinstance(exc, NoReplica):
            if isinstance(exc, BadRequest):
                return self._fail(task, exc)
            return None
        task.attempts += 1
        if not settings.repeatable:
            return self._fail(task, ItemMayHaveRun(str(exc)))
        if task.attempts >= settings.max_item_attempts:
            return self._fail(task, ItemExhausted(f'{exc.code}: {exc}'))
        return None

    def _fail(self, task: ItemTask, exc: CactusridgeError) -> ItemOutcome:
        self._count(task, exc.code)
        logs.emit(
            events.ITEM_FAILED,
            item=task.id,
            code=exc.code,
            attempts=task.attempts,
        )
        return item_outcome.failed(
            task.id,
            task.item.custom_id,
            exc,
            task.attempts,
        )

    def _count(self, task: ItemTask, outcome: str) -> None:
        labels = {'service': task.service.path, 'outcome': outcome}
        metrics.ITEMS.inc(labels)
