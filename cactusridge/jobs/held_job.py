"""A job that this entry runs."""

import base64
from collections.abc import Sequence

import gevent
from gevent.event import Event

from cactusridge import events, logs, metrics
from cactusridge.errors import OutcomeUnknown, StoreUnavailable
from cactusridge.jobs.item_run import ItemTask
from cactusridge.jobs.ledger import MAX_COMMIT, ItemEnd, JobLedger
from cactusridge.jobs.model import (
    ItemState,
    JobHead,
    JobItem,
    Progress,
    Result,
)

RETRY_S = 0.3


class HeldJob:
    """Tasks of a job, and the greenlet that commits what has ended."""

    def __init__(
        self,
        head: JobHead,
        progress: Progress,
        items: Sequence[JobItem],
        ledger: JobLedger,
    ) -> None:
        """Hold ``head``; the items in ``progress`` are done."""
        self.head = head
        self.stopped = False
        self.listed = Event()
        self._progress = progress
        self._ledger = ledger
        self._ended: list[ItemEnd] = []
        self._failures = dict(progress.failures)
        self._wake = Event()
        done = set(progress.listed)
        self.pending = {
            index: _task(index, item, progress)
            for index, item in enumerate(items)
            if index not in done
        }

    @property
    def finished(self) -> bool:
        """Whether every item is listed."""
        return len(self._progress.listed) == self.head.items

    def note_failure(self, task: ItemTask) -> None:
        """Count a run that the upstream failed."""
        task.failures += 1
        self._failures[str(task.index)] = task.failures
        self._wake.set()

    def note_end(self, task: ItemTask, state: ItemState) -> None:
        """Have an item listed with its output."""
        output = task.output() if state == ItemState.completed else ''
        result = Result(task.item.id, state, output)
        self._ended.append(ItemEnd(task.index, result))
        self._wake.set()
        metrics.ITEMS.inc({'service': self.head.path, 'outcome': state})
        if state == ItemState.given_up:
            logs.emit(
                events.ITEM_FAILED,
                job=self.head.id,
                item=task.item.id,
                failures=task.failures,
            )

    def stop(self) -> None:
        """Commit nothing more that is not on its way."""
        self.stopped = True
        self._wake.set()

    def flush(self) -> None:
        """Commit until everything that has ended is listed."""
        while not (self.finished or self.stopped):
            self._wake.wait()
            self._wake.clear()
            self._commit_all()

    def _commit_all(self) -> None:
        """Commit what has ended; raise HoldLost."""
        while self._dirty() and not self.stopped:
            batch = self._ended[:MAX_COMMIT]
            try:
                self._progress = self._ledger.commit(
                    self.head.id,
                    self._progress,
                    batch,
                    dict(self._failures),
                )
            except (StoreUnavailable, OutcomeUnknown) as exc:
                logs.emit(
                    events.COMMIT_DELAYED,
                    job=self.head.id,
                    results=len(batch),
                    error=str(exc),
                )
                gevent.sleep(RETRY_S)
                continue
            self._ended = self._ended[len(batch) :]
            self.listed.set()
            self.listed.clear()

    def _dirty(self) -> bool:
        behind = self._failures != self._progress.failures
        return bool(self._ended) or behind


def _task(index: int, item: JobItem, progress: Progress) -> ItemTask:
    task = ItemTask(index, item, base64.b64decode(item.body))
    task.failures = progress.failures.get(str(index), 0)
    return task
