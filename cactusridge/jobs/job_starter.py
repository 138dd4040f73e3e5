"""Starts the jobs that an entry has stored or takes over."""

import contextlib
from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError
from cactusridge.jobs.conditional_writer import HoldLost
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.held_job import HeldJob, restored_job
from cactusridge.jobs.ledger import JobLedger
from cactusridge.jobs.membership import Membership
from cactusridge.jobs.model import JobHead, JobItem
from cactusridge.jobs.orphans import Orphans
from cactusridge.peers.exchange import ignore_announcement
from cactusridge.work_meter import Part, spawn


class StartSteps(NamedTuple):
    """What the caller does with a job.

    ``register`` lets a job that has started run and returns whether it does,
    ``run`` returns when it runs no longer, and ``refresh`` reads its head.
    """

    register: Callable[[HeldJob], bool]
    run: Callable[[HeldJob], None]
    refresh: Callable[[str], None]


class JobStarter:
    """Starts each job once at a time.

    Two starts of one job would make two holders of it in one process, each of
    which invalidates the commits of the other.
    """

    def __init__(
        self,
        ledger: JobLedger,
        heads: JobHeads,
        session: Membership,
        orphans: Orphans,
        clock: Clock,
        steps: StartSteps,
    ) -> None:
        """Start jobs in the name of the entry of ``session``."""
        self.announce: Callable[[str, int], None] = ignore_announcement
        self._ledger = ledger
        self._heads = heads
        self._session = session
        self._orphans = orphans
        self._clock = clock
        self._steps = steps
        self._starting: set[str] = set()
        self._accepting: Counter[str] = Counter()

    @contextlib.contextmanager
    def while_accepting(self, job_id: str) -> Iterator[None]:
        """Mark a job as being stored during the block."""
        self._accepting[job_id] += 1
        try:
            yield
        finally:
            self._accepting[job_id] -= 1
            if not self._accepting[job_id]:
                self._accepting.pop(job_id)

    def is_accepting(self, job_id: str) -> bool:
        """Return whether a job is being stored and may start after that."""
        return job_id in self._accepting

    def is_starting(self, job_id: str) -> bool:
        """Return whether a start of a job is in progress."""
        return job_id in self._starting

    def start_new(self, head: JobHead, items: list[JobItem]) -> None:
        """Start a job that this entry has just stored."""
        self._spawn(head.id, lambda: self._restored(head, items))

    def take_over(self, head: JobHead) -> None:
        """Take over an orphaned job and start it."""
        self._spawn(head.id, lambda: self._taken_over(head))

    def _spawn(
        self, job_id: str, restore: Callable[[], HeldJob | None]
    ) -> None:
        if job_id not in self._starting:
            self._starting.add(job_id)
            spawn(Part.jobs, self._start, job_id, restore)

    def _start(
        self, job_id: str, restore: Callable[[], HeldJob | None]
    ) -> None:
        try:
            held = restore()
            runs = held is not None and self._steps.register(held)
        finally:
            self._starting.discard(job_id)
        if held is not None and runs:
            self._steps.run(held)

    def _taken_over(self, head: JobHead) -> HeldJob | None:
        """Make this entry the holder of a job and return the job."""
        me = self._session.me
        try:
            # The items are read first, so that an entry that cannot read them
            # does not become the holder.
            items = self._ledger.items(head.id)
            taken = self._ledger.take_over(head, me.name, me.life)
        except CactusridgeError as exc:
            self._orphans.takeover_failed(head, exc)
            if isinstance(exc, HoldLost):
                self._steps.refresh(head.id)
            return None
        self.announce(taken.id, taken.version)
        self._orphans.taken_over(head, taken.version)
        self._heads.update(taken)
        return self._restored(taken, items)

    def _restored(self, head: JobHead, items: list[JobItem]) -> HeldJob | None:
        """Return a job of this entry with its progress in the store."""
        try:
            return restored_job(head, items, self._ledger, self._clock)
        except CactusridgeError as exc:
            self._orphans.takeover_failed(head, exc)
            return None
