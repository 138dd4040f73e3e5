"""The state of a job that this entry holds, and its commits."""

import base64
from collections.abc import Iterable, Sequence

import gevent
from gevent.event import Event
from gevent.lock import RLock

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.errors import OutcomeUnknown, StoreUnavailable
from cactusridge.jobs.commit_size import fitting_changes
from cactusridge.jobs.item_run import ItemTask
from cactusridge.jobs.job_changes import FinishedItem, JobChanges
from cactusridge.jobs.ledger import (
    MAX_CHECKPOINT_CHARS,
    MAX_COMMIT_RESULTS,
    JobLedger,
)
from cactusridge.jobs.model import (
    Checkpoint,
    ItemState,
    JobHead,
    JobItem,
    Progress,
    Result,
)
from cactusridge.store.table import CallRefused
from cactusridge.store.unreadable import UnreadableRecord

# Pause in seconds before a failed commit is retried.
COMMIT_RETRY_S = 0.3
# Pause in seconds after the store has refused a commit that cannot be smaller.
REFUSED_PAUSE_S = 5.0
# Interval between two checkpoints in seconds. If a holder is lost, the output
# since its last checkpoint has to be produced again; a shorter interval costs
# more writes to the store, of some kilobytes for each item in flight.
CHECKPOINT_S = 1.0
# Maximum number of checkpoints in one transaction. At 15,000 characters each
# they stay below one megabyte, the limit of a transaction.
MAX_CHECKPOINTS = 12


class HeldJob:
    """Tracks the items of a held job and commits finished items."""

    def __init__(
        self,
        head: JobHead,
        progress: Progress,
        items: Sequence[JobItem],
        checkpoints: Iterable[Checkpoint],
        ledger: JobLedger,
        clock: Clock,
    ) -> None:
        """Create tasks for the items that ``progress`` does not list.

        ``checkpoints`` hold the output of earlier runs.
        """
        self.head = head
        self.stopped = False
        self.listed = Event()
        self._progress = progress
        self._ledger = ledger
        self._clock = clock
        # Monotonic time in seconds from which on items can start.
        self.held_at = clock.monotonic()
        self._checkpoint_at = clock.monotonic() + CHECKPOINT_S
        self._finished_items: list[FinishedItem] = []
        # Most results of the next commit; fewer after the store refused more.
        self._max_results = MAX_COMMIT_RESULTS
        self._failures = dict(progress.failures)
        self._wake = Event()
        self._committing = RLock()
        done = set(progress.listed)
        self._tasks = {
            index: _task(index, item, head, progress)
            for index, item in enumerate(items)
            if index not in done
        }
        for part in checkpoints:
            self._restore(part)
        self.pending = dict(self._tasks)

    @property
    def finished(self) -> bool:
        """Whether the results of all items are committed."""
        return len(self._progress.listed) == self.head.items

    def record_failure(self, task: ItemTask) -> None:
        """Count a run of an item that failed at the upstream."""
        task.failures += 1
        self._failures[str(task.index)] = task.failures
        self._wake.set()

    def record_end(self, task: ItemTask, state: ItemState) -> None:
        """Record the final state of an item for the next commit."""
        output = task.output() if state == ItemState.completed else ''
        result = Result(task.item.id, state, output)
        checkpointed = task.checkpoint_id is not None
        self._tasks.pop(task.index, None)
        self._finished_items.append(
            FinishedItem(task.index, result, checkpointed)
        )
        self._wake.set()
        metrics.ITEMS.inc({'service': self.head.path, 'outcome': state})

    def stop(self) -> None:
        """Stop committing; a commit that is in progress may still complete."""
        self.stopped = True
        self._wake.set()

    def hand_over(self) -> None:
        """Commit all results and checkpoints, then stop; raise HoldLost."""
        with self._committing:
            while self._commit_once(self._checkpoints()):
                gevent.sleep(0)
        self.stop()

    def flush(self) -> None:
        """Commit finished items until the job is finished or stopped.

        Raises HoldLost.
        """
        while not (self.finished or self.stopped):
            self._wake.wait(CHECKPOINT_S)
            self._wake.clear()
            with self._committing:
                self._commit_all()

    def _commit_all(self) -> None:
        """Commit all finished items, and checkpoints if they are due."""
        now = self._clock.monotonic()
        checkpoints: list[Checkpoint] = []
        if now >= self._checkpoint_at:
            self._checkpoint_at = now + CHECKPOINT_S
            checkpoints = self._checkpoints()
        while not self.stopped and self._commit_once(checkpoints):
            checkpoints = []

    def _commit_once(self, checkpoints: list[Checkpoint]) -> bool:
        """Commit one transaction; return whether there was anything to commit.

        A commit that fails because of the store is logged and left to the
        next call. Raises HoldLost.
        """
        ended = self._finished_items[: self._max_results]
        failures_changed = self._failures != self._progress.failures
        changes = fitting_changes(
            self.head.id,
            self._progress,
            JobChanges(ended, dict(self._failures), checkpoints),
        )
        if not (changes.ended or changes.checkpoints or failures_changed):
            return False
        try:
            self._progress = self._ledger.commit(
                self.head.id,
                self._progress,
                changes,
            )
        except CallRefused as refusal:
            self._note_refused(changes, refusal)
            return True
        except (StoreUnavailable, OutcomeUnknown) as exc:
            logs.emit(
                events.COMMIT_DELAYED,
                job=self.head.id,
                results=len(changes.ended),
                error=str(exc),
            )
            gevent.sleep(COMMIT_RETRY_S)
            return True
        self._note_committed(changes)
        return True

    def _note_refused(self, changes: JobChanges, exc: CallRefused) -> None:
        """Commit fewer results at a time; pause if there is only one."""
        count = len(changes.ended)
        logs.emit(
            events.COMMIT_REFUSED,
            job=self.head.id,
            items=[end.result.id for end in changes.ended],
            checkpoints=len(changes.checkpoints),
            error=str(exc),
        )
        if self._max_results == 1 or not count:
            gevent.sleep(REFUSED_PAUSE_S)
        self._max_results = max(1, count // 2)

    def _note_committed(self, changes: JobChanges) -> None:
        self._max_results = MAX_COMMIT_RESULTS
        self._finished_items = self._finished_items[len(changes.ended) :]
        for part in changes.checkpoints:
            task = self._tasks.get(part.index)
            if task is not None:
                task.checkpoint_id = part.last_id
        if changes.ended:
            logs.emit(
                events.RESULTS_LISTED,
                job=self.head.id,
                items=[end.result.id for end in changes.ended],
                listed=len(self._progress.listed),
                version=self._progress.version,
            )
            self.listed.set()
            self.listed.clear()

    def _checkpoints(self) -> list[Checkpoint]:
        """Return checkpoints of items with output since the last checkpoint.

        Outputs that are too long for a row are left out.
        """
        grown = [
            task
            for task in self._tasks.values()
            if task.last_id is not None and task.last_id != task.checkpoint_id
        ]
        found = [
            Checkpoint(
                task.index, task.last_id or '', task.output(), task.origin
            )
            for task in grown
        ]
        fitting = [
            part for part in found if len(part.output) <= MAX_CHECKPOINT_CHARS
        ]
        return fitting[:MAX_CHECKPOINTS]

    def _restore(self, part: Checkpoint) -> None:
        task = self._tasks.get(part.index)
        if task is not None:
            task.restore(part.last_id, part.output, part.origin)
            task.checkpoint_id = part.last_id
            task.waiting_since = self.held_at


def restored_job(
    head: JobHead,
    items: Sequence[JobItem],
    ledger: JobLedger,
    clock: Clock,
) -> HeldJob:
    """Restore a held job from the progress and checkpoints in the store.

    Raises NotFound, StoreUnavailable, UnreadableRecord.
    """
    progress = ledger.progress(head.id)
    last = max(progress.listed, default=0)
    if len(items) != head.items or last >= head.items:
        raise UnreadableRecord(
            f'job {head.id} should have {head.items} items but has'
            f' {len(items)}; the highest listed index is {last}',
        )
    checkpoints = ledger.checkpoints(head.id)
    return HeldJob(head, progress, items, checkpoints, ledger, clock)


def _task(
    index: int,
    item: JobItem,
    head: JobHead,
    progress: Progress,
) -> ItemTask:
    body = base64.b64decode(item.body)
    task = ItemTask(index, item, body, head.host, head.organisation)
    task.failures = progress.failures.get(str(index), 0)
    return task
