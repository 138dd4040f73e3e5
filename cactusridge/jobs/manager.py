"""Accepts, takes over, ends and hands over the jobs that this entry runs."""

from collections.abc import Callable

import gevent

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError
from cactusridge.jobs.conditional_writer import HoldLost
from cactusridge.jobs.heads import JobHeads
from cactusridge.jobs.held_job import HeldJob
from cactusridge.jobs.job_starter import JobStarter, StartSteps
from cactusridge.jobs.ledger import JobLedger
from cactusridge.jobs.membership import Membership
from cactusridge.jobs.model import JobHead, JobItem, JobState
from cactusridge.jobs.orphans import Orphans
from cactusridge.jobs.scheduler import BatchScheduler
from cactusridge.peers.exchange import ignore_announcement
from cactusridge.work_meter import Part, spawn

# Interval in seconds at which an entry polls for orphaned jobs.
ORPHAN_POLL_S = 0.25


class JobManager:
    """Runs the jobs that this entry holds and takes over orphaned jobs."""

    def __init__(
        self,
        ledger: JobLedger,
        heads: JobHeads,
        session: Membership,
        scheduler: BatchScheduler,
        orphans: Orphans,
        clock: Clock,
        has_live_peers: Callable[[], bool],
    ) -> None:
        """Run held jobs with ``scheduler``.

        ``session`` renews the lease of this entry. ``has_live_peers`` returns
        whether this entry currently receives messages from any peer.
        """
        self.ledger = ledger
        self._session = session
        self._scheduler = scheduler
        self._orphans = orphans
        self._announce: Callable[[str, int], None] = ignore_announcement
        self._has_live_peers = has_live_peers
        self._heads = heads
        heads.on_change(self.head_changed)
        self._starter = JobStarter(
            ledger,
            heads,
            session,
            orphans,
            clock,
            StartSteps(self._register, self._flush, self._refresh),
        )
        self._stopping = False

    def announce_with(self, announce: Callable[[str, int], None]) -> None:
        """Announce heads to peers with ``announce(job_id, version)``."""
        self._announce = announce
        self._starter.announce = announce

    def head_changed(self, head: JobHead) -> None:
        """Stop a held job if a newer head has ended or reassigned it."""
        held = self._scheduler.jobs.get(head.id)
        if held is None:
            return
        held.head = head
        if head.state == JobState.ended or not self._orphans.is_mine(head):
            self._drop(held)

    def on_announcement(self, job_id: str, version: int) -> None:
        """Check a held job after a peer has announced a newer head of it.

        The store's feed delivers the same change unless this entry cannot
        reach the store. In that case only the announcement stops the items.
        """
        held = self.held(job_id)
        if held is not None and version > held.head.version:
            spawn(Part.jobs, self._check_holder, held, version)

    def held(self, job_id: str) -> HeldJob | None:
        """Return the job if this entry runs it, else None."""
        return self._scheduler.jobs.get(job_id)

    def with_this_holder(self, head: JobHead) -> JobHead:
        """Return ``head`` with this entry as holder.

        An entry that is stopping leaves the holder as it is.
        """
        if self._stopping:
            return head
        me = self._session.me
        return head._replace(holder=me.name, life=me.life)

    def accept(self, head: JobHead, items: list[JobItem]) -> JobHead:
        """Store a job, start it and return its stored head.

        If the job was submitted before, return the head stored then. This
        copy of the job then starts nothing: its items may differ from those
        in the store. ``poll`` starts a job that no entry runs.
        Raises StoreUnavailable, OutcomeUnknown.
        """
        with self._starter.while_accepting(head.id):
            accepted = self.ledger.accept(head, items)
            stored = accepted.head
            logs.emit(
                events.JOB_ACCEPTED,
                job=head.id,
                items=len(items),
                holder=stored.holder,
                route=stored.path,
                created_ms=stored.created_ms,
            )
            self._heads.update(stored)
            is_mine = self._orphans.is_mine(stored)
            if accepted.is_new and is_mine and not self._stopping:
                self._starter.start_new(stored, items)
        return stored

    def end(self, job_id: str) -> None:
        """End a job in the store and announce that to the peers."""
        ended = self.ledger.end(job_id)
        self._announce(ended.id, ended.version)
        logs.emit(events.JOB_CANCELLED, job=job_id, version=ended.version)
        self._heads.update(ended)

    def poll(self) -> None:
        """Update whether items may start, and take over orphaned jobs."""
        if self._stopping:
            return
        if self._may_dispatch():
            self._scheduler.may_dispatch.set()
        else:
            self._scheduler.may_dispatch.clear()
        if not self._session.lease_is_valid():
            return
        for head in self._heads.all_heads():
            if self._may_take_over(head):
                self._starter.take_over(head)

    def stop(self) -> None:
        """Stop all jobs and hand them over to the other entries."""
        self._stopping = True
        self._scheduler.may_dispatch.clear()
        held = list(self._scheduler.jobs.values())
        self._scheduler.stop_all()
        gevent.joinall([gevent.spawn(self._hand_over, job) for job in held])

    def _may_dispatch(self) -> bool:
        """Return whether items may start.

        While this entry cannot reach the store, another entry may take
        over or end its jobs. A reachable peer announces such changes, so
        items may start while peers are reachable. Without such an
        announcement the store is most likely unreachable for all entries.
        """
        return self._session.lease_is_valid() or self._has_live_peers()

    def _may_take_over(self, head: JobHead) -> bool:
        """Return whether this entry has to take over a job that it knows.

        A job that it is storing is started after that.
        """
        if self.held(head.id) is not None:
            return False
        if self._starter.is_starting(head.id):
            return False
        if self._orphans.is_mine(head) and self._starter.is_accepting(head.id):
            return False
        return self._orphans.should_take_over(head)

    def _check_holder(self, held: HeldJob, version: int) -> None:
        """Read the head of a held job after a peer's announcement.

        If the known head is still older than ``version`` after the read,
        the job is dropped on the announcement alone.
        """
        self._refresh(held.head.id)
        if held.head.version < version and not held.stopped:
            logs.emit(events.JOB_LEASE_LOST, job=held.head.id)
            self._drop(held)

    def _refresh(self, job_id: str) -> None:
        """Read a job's head from the store, since the feed may lag behind."""
        try:
            self._heads.update(self.ledger.head(job_id))
        except CactusridgeError as exc:
            logs.emit(events.TAKE_FAILED, job=job_id, error=str(exc))

    def _register(self, held: HeldJob) -> bool:
        """Let a job that has just started run; return whether it does.

        While its rows were read, the job may have ended or got another
        holder, and this entry may have begun to stop.
        """
        held.head = self._heads.get(held.head.id) or held.head
        if held.head.state != JobState.open:
            return False
        if not self._orphans.is_mine(held.head):
            return False
        if self._stopping:
            self._hand_over(held)
            return False
        self._scheduler.jobs[held.head.id] = held
        metrics.SPANS_HELD.set({}, len(self._scheduler.jobs))
        self._scheduler.wake.set()
        return True

    def _flush(self, held: HeldJob) -> None:
        try:
            held.flush()
        except HoldLost:
            metrics.LEASE_LOST.inc({})
            logs.emit(events.JOB_LEASE_LOST, job=held.head.id)
            self._drop(held)
            self._refresh(held.head.id)
            return
        if held.finished:
            self._drop(held)
            self._close(held)

    def _close(self, held: HeldJob) -> None:
        try:
            self._heads.update(self.ledger.close(held.head))
        except HoldLost:
            self._refresh(held.head.id)
        except CactusridgeError as exc:
            logs.emit(events.TAKE_FAILED, job=held.head.id, error=str(exc))

    def _drop(self, held: HeldJob) -> None:
        held.stop()
        self._scheduler.stop_job(held)
        metrics.SPANS_HELD.set({}, len(self._scheduler.jobs))

    def _hand_over(self, job: HeldJob) -> None:
        try:
            job.hand_over()
            self.ledger.release(job.head)
        except CactusridgeError as exc:
            logs.emit(events.TAKE_FAILED, job=job.head.id, error=str(exc))
