"""Which jobs this entry runs: accepted, taken over, ended, handed on."""

import gevent

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError
from cactusridge.hashing import hash64, rendezvous
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.held_job import HeldJob
from cactusridge.jobs.ledger import HoldLost, JobLedger
from cactusridge.jobs.model import (
    JobHead,
    JobItem,
    JobState,
    Progress,
)
from cactusridge.jobs.scheduler import BatchScheduler
from cactusridge.jobs.session import Session

# How often orphaned jobs are looked for, in seconds.
LOOK_S = 0.25
# The entry that ranks first for a job takes it at once; each next one
# waits this much longer, a write and its news at the others.
RANK_DELAY_S = 0.4


class JobManager:
    """Holds some of the jobs and looks after those that nobody holds."""

    def __init__(
        self,
        ledger: JobLedger,
        heads: JobHeads,
        session: Session,
        scheduler: BatchScheduler,
        clock: Clock,
    ) -> None:
        """Run held jobs with ``scheduler`` while ``session`` lasts."""
        self.ledger = ledger
        self._session = session
        self._scheduler = scheduler
        self._clock = clock
        self._heads = heads
        heads.on_change(self.changed)
        self._orphaned_at: dict[str, float] = {}
        self._taking: set[str] = set()
        self._stopping = False

    def changed(self, head: JobHead) -> None:
        """Stop a held job when its newer head says so."""
        held = self._scheduler.jobs.get(head.id)
        if held is None:
            return
        held.head = head
        if head.state == JobState.ended or not self._is_mine(head):
            self._drop(held)

    def held(self, job_id: str) -> HeldJob | None:
        """Return a job that this entry runs."""
        return self._scheduler.jobs.get(job_id)

    def new_head(
        self,
        job_id: str,
        host: str,
        path: str,
        items: int,
        now_ms: int,
    ) -> JobHead:
        """Return the head of a job that this entry would run."""
        me = self._session.me
        return JobHead(job_id, host, path, items, now_ms, me.name, me.life)

    def accept(self, head: JobHead, items: list[JobItem]) -> JobHead:
        """Store a job and begin to run it; a resend finds the first."""
        stored = self.ledger.accept(head, items)
        logs.emit(
            events.JOB_ACCEPTED,
            job=head.id,
            items=len(items),
            holder=stored.holder,
        )
        self._heads.note(stored)
        fresh = stored.state == JobState.open and self._is_mine(stored)
        if fresh and self.held(head.id) is None and not self._stopping:
            self._taking.add(head.id)
            gevent.spawn(self._begin, stored, items)
        return stored

    def end(self, job_id: str) -> None:
        """End a job for good."""
        ended = self.ledger.end(job_id)
        logs.emit(events.JOB_CANCELLED, job=job_id, version=ended.version)
        self._heads.note(ended)

    def look(self) -> None:
        """Take over jobs whose holders are gone."""
        if self._session.may_dispatch() and not self._stopping:
            self._scheduler.may_dispatch.set()
        else:
            self._scheduler.may_dispatch.clear()
            return
        for head in self._heads.every():
            if self._is_orphan(head) and self._my_turn(head):
                self._taking.add(head.id)
                gevent.spawn(self._take, head)

    def stop(self) -> None:
        """Hand every job to the other entries."""
        self._stopping = True
        self._scheduler.may_dispatch.clear()
        held = list(self._scheduler.jobs.values())
        for job in held:
            job.stop()
        self._scheduler.stop_all()
        gevent.joinall([gevent.spawn(self._release, job) for job in held])

    def _is_mine(self, head: JobHead) -> bool:
        me = self._session.me
        return head.holder == me.name and head.life == me.life

    def _is_orphan(self, head: JobHead) -> bool:
        if head.state != JobState.open or head.id in self._taking:
            return False
        if head.id in self._scheduler.jobs:
            return False
        orphan = self._is_mine(head) or not (
            head.holder and self._session.lives(head.holder, head.life)
        )
        if not orphan:
            self._orphaned_at.pop(head.id, None)
        return orphan

    def _my_turn(self, head: JobHead) -> bool:
        """Tell whether this entry waited as long as its rank asks."""
        now = self._clock.monotonic()
        since = self._orphaned_at.setdefault(head.id, now)
        live = [member.name for member in self._session.members()]
        ranked = rendezvous(live, hash64(head.id))
        rank = ranked.index(self._session.me.name)
        return now - since >= rank * RANK_DELAY_S

    def _take(self, head: JobHead) -> None:
        """Become the holder of an orphaned job and run it."""
        me = self._session.me
        try:
            taken = self.ledger.take(head, me.name, me.life)
            items = self.ledger.items(head.id)
        except HoldLost:
            self._taking.discard(head.id)
            self._refresh(head.id)
            return
        except CactusridgeError as exc:
            self._taking.discard(head.id)
            logs.emit(events.TAKE_FAILED, job=head.id, error=str(exc))
            return
        logs.emit(
            events.JOB_TAKEN,
            job=head.id,
            previous=head.holder,
            version=taken.version,
        )
        self._heads.note(taken)
        self._begin(taken, items)

    def _refresh(self, job_id: str) -> None:
        """Read a job's head anew; the follower may be behind."""
        try:
            self._heads.note(self.ledger.head(job_id))
        except CactusridgeError as exc:
            logs.emit(events.TAKE_FAILED, job=job_id, error=str(exc))

    def _begin(self, head: JobHead, items: list[JobItem]) -> None:
        """Run a job until it is done, ended or lost."""
        try:
            held = HeldJob(head, self._progress(head), items, self.ledger)
        except CactusridgeError as exc:
            # The next look finds it orphaned, with this entry as holder.
            logs.emit(events.TAKE_FAILED, job=head.id, error=str(exc))
            return
        finally:
            self._taking.discard(head.id)
        newest = self._heads.get(head.id) or head
        if newest.state != JobState.open or not self._is_mine(newest):
            return
        self._scheduler.jobs[head.id] = held
        metrics.SPANS_HELD.set({}, len(self._scheduler.jobs))
        self._scheduler.wake.set()
        self._flush(held)

    def _progress(self, head: JobHead) -> Progress:
        return self.ledger.progress(head.id)

    def _flush(self, held: HeldJob) -> None:
        try:
            held.flush()
        except HoldLost:
            metrics.LEASE_LOST.inc({})
            logs.emit(events.HOLD_LOST, job=held.head.id)
            self._drop(held)
            self._refresh(held.head.id)
            return
        if held.finished:
            self._drop(held)
            self._close(held)

    def _close(self, held: HeldJob) -> None:
        try:
            self._heads.note(self.ledger.close(held.head))
        except HoldLost:
            self._refresh(held.head.id)
        except CactusridgeError as exc:
            logs.emit(events.TAKE_FAILED, job=held.head.id, error=str(exc))

    def _drop(self, held: HeldJob) -> None:
        held.stop()
        self._scheduler.stop_job(held.head.id)
        metrics.SPANS_HELD.set({}, len(self._scheduler.jobs))

    def _release(self, job: HeldJob) -> None:
        try:
            self.ledger.release(job.head)
        except CactusridgeError as exc:
            logs.emit(events.TAKE_FAILED, job=job.head.id, error=str(exc))
