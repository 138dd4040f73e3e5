"""Runs a batch item, with retries, until it has a final outcome."""

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
)
from cactusridge.orders import Fence, WorkClass
from cactusridge.settings.catalog import Service
from cactusridge.sidecar_dispatch.dispatch import Buffering, Dispatch
from cactusridge.sidecar_dispatch.dispatcher import Dispatcher

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 2
BACKOFF_FACTOR = 2
SERVER_FAULT = 500
TOO_MANY_REQUESTS = 429
OK = 200


class ItemExhausted(CactusridgeError):
    """The item failed as many times as the service allows."""

    code = 'item_attempts_exhausted'


class ItemMayHaveRun(CactusridgeError):
    """The item may have run, and calls of this service are not retried."""

    code = 'item_outcome_unknown'


class ItemTask:
    """One item with its service, slack, fence and number of attempts."""

    def __init__(
        self,
        item: Item,
        item_id: str,
        service: Service,
        slack_s: float,
        fence: Fence,
    ) -> None:
        """Create the task of ``item``.

        ``slack_s`` is the time until the item is due, in seconds, and
        ``fence`` the fencing number of the span that contains it.
        """
        self.item = item
        self.id = item_id
        self.service = service
        self.slack_s = slack_s
        self.fence = fence
        self.attempts = 0


class ItemRunner:
    """Sends items to replicas with free capacity and retries failures."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        placer: BatchPlacer,
        clock: Clock,
    ) -> None:
        """Send items with ``dispatcher`` to the replicas ``placer`` picks."""
        self._dispatcher = dispatcher
        self._placer = placer
        self._clock = clock

    def run(self, task: ItemTask, permit: DispatchPermit) -> ItemOutcome:
        """Run an item with backoff between attempts; return its outcome.

        Raises LeaseLost when the span is no longer held.
        """
        pause_s = FIRST_PAUSE_S
        while True:
            permit.wait()
            try:
                return self._try(task, permit)
            except LeaseLost:
                raise
            except CactusridgeError as exc:
                final = self._classify_failure(task, exc)
            if final is not None:
                return final
            gevent.sleep(pause_s)
            pause_s = min(MAX_PAUSE_S, pause_s * BACKOFF_FACTOR)

    def _try(self, task: ItemTask, permit: DispatchPermit) -> ItemOutcome:
        with self._placer.place(task.service, task.slack_s) as replica:
            permit.check()
            # The deadline counts from here, not from the start of the wait
            # for a replica, so the dispatch is built again.
            dispatch = self._dispatch(task)
            attempt = self._dispatcher.attempt(dispatch, replica)
            body = attempt.read_body()
        if (
            attempt.status >= SERVER_FAULT
            or attempt.status == TOO_MANY_REQUESTS
        ):
            raise OutcomeUnknown(
                f'the upstream responded with status {attempt.status}',
            )
        self._count_item(task, 'ok' if attempt.status == OK else 'refused')
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

    def _classify_failure(
        self,
        task: ItemTask,
        exc: CactusridgeError,
    ) -> ItemOutcome | None:
        """Return a final outcome, or None if the item may be retried."""
        settings = task.service.settings
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
        self._count_item(task, exc.code)
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

    def _count_item(self, task: ItemTask, outcome: str) -> None:
        labels = {'service': task.service.path, 'outcome': outcome}
        metrics.ITEMS.inc(labels)
