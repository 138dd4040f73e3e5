"""Runs the chunks of one held span."""

import itertools
from collections import deque

import gevent
from gevent.event import Event
from gevent.pool import Pool

from cactusridge import events, logs
from cactusridge.batch import item_outcome
from cactusridge.batch.accounts import BatchAccounts
from cactusridge.batch.chunk_output import write_output
from cactusridge.batch.held_span import HeldSpan, JobCancelled, LeaseLost
from cactusridge.batch.item_outcome import ItemOutcome
from cactusridge.batch.item_runner import (
    ItemExhausted,
    ItemMayHaveRun,
    ItemRunner,
    ItemTask,
)
from cactusridge.batch.lines import Item, parse_line
from cactusridge.batch.permit import DispatchPermit
from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError, StoreUnavailable
from cactusridge.orders import Fence
from cactusridge.settings.catalog import Service
from cactusridge.store.object_store import ObjectStore

MIN_WINDOW = 2
WINDOW_ITEMS = 128
SUSPECT_STARTS = 3
PAUSE_S = 0.5


class SpanRunner:
    """Runs a span's chunks, several at a time, and commits each.

    ``stopping`` is set to make the runner stop and hand back the lease.
    """

    def __init__(
        self,
        held: HeldSpan,
        service: Service,
        objects: ObjectStore,
        items: ItemRunner,
        accounts: BatchAccounts,
        clock: Clock,
    ) -> None:
        """Create a runner of the span in ``held``, calling ``service``."""
        self.held = held
        self.stopping = Event()
        self._service = service
        self._objects = objects
        self._items = items
        self._accounts = accounts
        self._clock = clock
        self._span_held = Event()
        self._permit = DispatchPermit(self._span_held, held.lease)
        self._pending: deque[int] = deque(held.span.pending())

    def run(self, holder: str) -> None:
        """Take the span's lease, run its chunks and close it.

        Handles JobCancelled and LeaseLost; raises other errors.
        """
        try:
            self._run(holder)
        except JobCancelled:
            self._close_cancelled()
        except LeaseLost:
            logs.emit(events.SPAN_LEASE_LOST, span=self.held.span.name)

    def _run(self, holder: str) -> None:
        first = self._next_chunks(self._window())
        self.held.take(holder, first)
        logs.emit(
            events.SPAN_TAKEN,
            span=self.held.span.name,
            fence=self.held.fence,
        )
        self._span_held.set()
        workers = [gevent.spawn(self._run_worker, chunk) for chunk in first]
        try:
            self._watch(workers)
        finally:
            self._span_held.clear()
            gevent.killall(workers)
        if self.stopping.is_set() and self.held.span.pending():
            self.held.hand_back()
            return
        self.held.close(cancelled=False)
        self._accounts.closed(self.held.span)

    def _window(self) -> int:
        """Return how many chunks to run at once.

        A chunk ends only with its slowest item. With too few items in
        flight, items of other jobs would take the slots that an urgent
        job's chunks leave free meanwhile.
        """
        return max(MIN_WINDOW, WINDOW_ITEMS // self.held.cfg.chunk_items)

    def _watch(self, workers: list[gevent.Greenlet]) -> None:
        """Renew the lease while the workers run.

        Returns early if the runner is stopped and the span is repeatable.
        Raises the first failure of a worker.
        """
        while not all(worker.ready() for worker in workers):
            gevent.joinall(workers, timeout=PAUSE_S, count=len(workers))
            if self.stopping.is_set() and self.held.span.repeatable:
                return
            if self.held.lease.renewal_due():
                self.held.renew()
            self._raise_failure(workers)
        self._raise_failure(workers)

    def _raise_failure(self, workers: list[gevent.Greenlet]) -> None:
        for worker in workers:
            if worker.ready() and isinstance(worker.value, CactusridgeError):
                raise worker.value

    def _run_worker(self, chunk: int) -> CactusridgeError | None:
        """Run ``chunk`` and following chunks; return a failure, if any."""
        following = [chunk]
        try:
            while following:
                following = self._run_chunk(following[0])
        except CactusridgeError as exc:
            return exc
        return None

    def _run_chunk(self, chunk: int) -> list[int]:
        """Run and commit ``chunk``; return the next chunk, if any."""
        lines = self._read(chunk)
        tasks = [
            self._task(chunk, index, parse_line(line, index + 1))
            for index, line in enumerate(lines)
        ]
        outcomes = self._outcomes(chunk, tasks)
        found = write_output(
            self._objects,
            self.held.span,
            chunk,
            outcomes,
            self._clock,
        )
        following = self._next_chunks(1)
        self.held.commit(chunk, found, following)
        self._accounts.committed(self.held.span, found)
        return following

    def _outcomes(
        self,
        chunk: int,
        tasks: list[ItemTask],
    ) -> list[ItemOutcome]:
        starts = self.held.span.started.get(str(chunk), 1)
        if starts > 1 and not self._service.settings.repeatable:
            # An earlier holder may have run any of these items.
            return [_outcome_unknown(task) for task in tasks]
        if starts > SUSPECT_STARTS:
            return [self._run_alone(chunk, task) for task in tasks]
        pool = Pool(len(tasks))
        try:
            ended = pool.map(self._try_item, tasks)
        finally:
            pool.kill()
        return [_outcome_or_raise(each) for each in ended]

    def _try_item(self, task: ItemTask) -> ItemOutcome | CactusridgeError:
        """Return an item's outcome, or the error that prevented one."""
        try:
            return self._run_item(task)
        except CactusridgeError as exc:
            return exc

    def _run_item(self, task: ItemTask) -> ItemOutcome:
        return self._items.run(task, self._permit)

    def _run_alone(self, chunk: int, task: ItemTask) -> ItemOutcome:
        """Run one item of a chunk whose holders failed several times.

        Each such item is marked in the span's row before it runs alone,
        and fails once it has been marked ``max_item_attempts`` times.
        """
        index = int(task.id.rpartition('-')[-1])
        marked_runs = self.held.span.marks.get(f'{chunk}/{index}', 0)
        if marked_runs >= self._service.settings.max_item_attempts:
            exhausted = ItemExhausted(
                'each holder that ran the item was lost during the run',
            )
            return item_outcome.failed(
                task.id,
                task.item.custom_id,
                exhausted,
                marked_runs,
            )
        self.held.mark(chunk, index)
        task.attempts = 1
        return self._run_item(task)

    def _task(self, chunk: int, index: int, item: Item) -> ItemTask:
        span = self.held.span
        return ItemTask(
            item,
            f'{span.job}-{span.number}-{chunk}-{index}',
            self._service,
            span.due - self._clock.wall(),
            Fence(resource=span.name, number=self.held.fence),
        )

    def _read(self, chunk: int) -> list[bytes]:
        span = self.held.span
        start, end = span.offsets[chunk : chunk + 2]
        while True:
            try:
                raw = self._objects.get(span.segment, start, end)
            except StoreUnavailable:
                gevent.sleep(PAUSE_S)
                continue
            return raw.splitlines()

    def _next_chunks(self, count: int) -> list[int]:
        if self.stopping.is_set():
            return []
        taken = [
            self._pending.popleft()
            for _ in itertools.repeat(None, min(count, len(self._pending)))
        ]
        return taken

    def _close_cancelled(self) -> None:
        try:
            self.held.close(cancelled=True)
        except LeaseLost:
            logs.emit(events.SPAN_LEASE_LOST, span=self.held.span.name)


def _outcome_or_raise(ended: ItemOutcome | CactusridgeError) -> ItemOutcome:
    if isinstance(ended, CactusridgeError):
        raise ended
    return ended


def _outcome_unknown(task: ItemTask) -> ItemOutcome:
    exc = ItemMayHaveRun('the holder was lost when the item may have run')
    return item_outcome.failed(task.id, task.item.custom_id, exc, 1)
