"""Which jobs this entry runs: accepted, taken over, ended, handed on."""

from collections.abc import Callable

import gevent

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.held_job import HeldJob, restored_job
from cactusridge.jobs.hold_writer import HoldLost
from cactusridge.jobs.ledger import JobLedger
from cactusridge.jobs.model import JobHead, JobItem, JobState
from cactusridge.jobs.orphans import Orphans
from cactusridge.jobs.scheduler import BatchScheduler
from cactusridge.jobs.session import Session
from cactusridge.peers.exchange import tell_nobody
from cactusridge.work_meter import Part, spawn

# How often orphaned jobs are looked for, in seconds.
LOOK_S = 0.25


class JobManager:
    """Holds some of the jobs and looks after those that nobody holds."""

    def __init__(
        self,
        ledger: JobLedger,
        heads: JobHeads,
        session: Session,
        scheduler: BatchScheduler,
        orphans: Orphans,
        clock: Clock,
        peers_heard: Callable[[], bool],
    ) -> None:
        """Run held jobs with ``scheduler`` while ``session`` lasts.

        ``peers_heard`` says whether some peers are heard now.
        """
        self.ledger = ledger
        self._session = session
        self._scheduler = scheduler
        self._clock = clock
        self._orphans = orphans
        self._tell_peers: Callable[[str, int], None] = tell_nobody
        self._peers_heard = peers_heard
        self._heads = heads
        heads.on_change(self.changed)
        self._taking: set[str] = set()
        self._stopping = False

    def tell_through(self, tell: Callable[[str, int], None]) -> None:
        """Let peers know of a head, by job and version, with ``tell``."""
        self._tell_peers = tell

    def changed(self, head: JobHead) -> None:
        """Stop a held job when its newer head says so."""
        held = self._scheduler.jobs.get(head.id)
        if held is None:
            return
        held.head = head
        if head.state == JobState.ended or not self._orphans.is_mine(head):
            self._drop(held)

    def told(self, job_id: str, version: int) -> None:
        """Give a job up when a peer knows of a newer head than this one.

        The store's feed says so too, unless the store turns this entry
        away: then the peer's word is what stops its items.
        """
        held = self.held(job_id)
        if held is not None and version > held.head.version:
            spawn(Part.jobs, self._check_hold, held, version)

    def held(self, job_id: str) -> HeldJob | None:
        """Return a job that this entry runs."""
        return self._scheduler.jobs.get(job_id)

    def held_here(self, head: JobHead) -> JobHead:
        """Return the head of a job that this entry runs, if it stays."""
        if self._stopping:
            return head
        me = self._session.me
        return head._replace(holder=me.name, life=me.life)

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
        fresh = stored.state == JobState.open and self._orphans.is_mine(stored)
        if fresh and self.held(head.id) is None and not self._stopping:
            self._taking.add(head.id)
            spawn(Part.jobs, self._begin, stored, items)
        return stored

    def end(self, job_id: str) -> None:
        """End a job for good."""
        ended = self.ledger.end(job_id)
        self._tell_peers(ended.id, ended.version)
        logs.emit(events.JOB_CANCELLED, job=job_id, version=ended.version)
        self._heads.note(ended)

    def look(self) -> None:
        """Take over jobs whose holders are gone."""
        if self._stopping:
            return
        if self._may_dispatch():
            self._scheduler.may_dispatch.set()
        else:
            self._scheduler.may_dispatch.clear()
        if not self._session.may_dispatch():
            return
        for head in self._heads.every():
            busy = head.id in self._taking or self.held(head.id) is not None
            if not busy and self._orphans.due(head):
                self._taking.add(head.id)
                spawn(Part.jobs, self._take, head)

    def stop(self) -> None:
        """Hand every job to the other entries."""
        self._stopping = True
        self._scheduler.may_dispatch.clear()
        held = list(self._scheduler.jobs.values())
        self._scheduler.stop_all()
        gevent.joinall([gevent.spawn(self._release, job) for job in held])

    def _may_dispatch(self) -> bool:
        """Tell whether items may start.

        Without the store another entry may have taken or ended a job;
        while the peers are heard they say so, and until then the store
        is most likely away for all.
        """
        return self._session.may_dispatch() or self._peers_heard()

    def _take(self, head: JobHead) -> None:
        """Become the holder of an orphaned job and run it."""
        me = self._session.me
        try:
            # Read first: who cannot run a job does not become its holder.
            items = self.ledger.items(head.id)
            taken = self.ledger.take(head, me.name, me.life)
        except CactusridgeError as exc:
            self._taking.discard(head.id)
            self._orphans.not_taken(head, exc)
            if isinstance(exc, HoldLost):
                self._refresh(head.id)
            return
        self._tell_peers(taken.id, taken.version)
        logs.emit(
            events.JOB_TAKEN,
            job=head.id,
            previous=head.holder,
            version=taken.version,
        )
        self._heads.note(taken)
        self._begin(taken, items)

    def _check_hold(self, held: HeldJob, version: int) -> None:
        """Read a job's head; without the store, believe the peer."""
        self._refresh(held.head.id)
        if held.head.version < version and not held.stopped:
            logs.emit(events.HOLD_LOST, job=held.head.id)
            self._drop(held)

    def _refresh(self, job_id: str) -> None:
        """Read a job's head anew; the follower may be behind."""
        try:
            self._heads.note(self.ledger.head(job_id))
        except CactusridgeError as exc:
            logs.emit(events.TAKE_FAILED, job=job_id, error=str(exc))

    def _begin(self, head: JobHead, items: list[JobItem]) -> None:
        """Run a job until it is done, ended or lost."""
        try:
            held = restored_job(head, items, self.ledger, self._clock)
        except CactusridgeError as exc:
            self._orphans.not_taken(head, exc)
            return
        finally:
            self._taking.discard(head.id)
        newest = self._heads.get(head.id) or head
        if newest.state != JobState.open or not self._orphans.is_mine(newest):
            return
        if self._stopping:
            # Told to stop while the store was read.
            self._release(held)
            return
        self._scheduler.jobs[head.id] = held
        metrics.SPANS_HELD.set({}, len(self._scheduler.jobs))
        self._scheduler.wake.set()
        self._flush(held)

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
            job.hand_over()
            self.ledger.release(job.head)
        except CactusridgeError as exc:
            logs.emit(events.TAKE_FAILED, job=job.head.id, error=str(exc))
