"""Starts batch items in free slots and preempts them in overfull replicas."""

import contextlib

import gevent
from gevent.event import Event

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.dispatch.catalog import Route
from cactusridge.dispatch.claims import ClaimRule
from cactusridge.dispatch.preemption import preemption_counts
from cactusridge.dispatch.run import Runner
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.jobs.free_replicas import FreeReplicas
from cactusridge.jobs.held_job import HeldJob
from cactusridge.jobs.item_placement import ItemPlacement
from cactusridge.jobs.item_queue import ItemQueue, WaitingItem
from cactusridge.jobs.item_run import ItemRun, ItemTask, RunOutcome
from cactusridge.jobs.model import GiveUpReason
from cactusridge.jobs.pass_pacer import PassPacer
from cactusridge.jobs.running_item import RunningItem
from cactusridge.peers.batch_sharing import BatchSharing
from cactusridge.peers.load import Load, WorkKind
from cactusridge.peers.loads import LoadTable
from cactusridge.start_trace import TRACE, StartStep
from cactusridge.work_meter import METER, Part, PartGreenlet, spawn


class BatchScheduler:
    """Runs the items of held jobs in slots that online requests leave free."""

    def __init__(
        self,
        fleet: FleetView,
        runner: Runner,
        clock: Clock,
        queue: ItemQueue,
        sharing: BatchSharing,
        claims: ClaimRule,
    ) -> None:
        """Run items in the order of ``queue``.

        ``sharing`` selects the replicas where this entry runs items, and
        ``claims`` decides between entries that want the same slot.
        """
        self._cells = sharing.cells
        self._pacer = PassPacer(clock, self._cells)
        self.wake = self._pacer.wake
        self.may_dispatch = Event()
        self.jobs: dict[str, HeldJob] = {}
        self._name = self._cells.name
        self._fleet = fleet
        free = FreeReplicas(fleet, runner, sharing)
        self._placement = ItemPlacement(free, fleet, clock)
        self._runner = runner
        self._clock = clock
        self._claims = claims
        self._queue = queue
        self._running: list[RunningItem] = []

    @property
    def loads(self) -> LoadTable:
        """Request counts of all entries by replica."""
        return self._runner.loads

    def depths(self) -> dict[str, int]:
        """Return the numbers of held jobs and of items waiting and running."""
        return {
            'jobs_held': len(self.jobs),
            'items_waiting': sum(
                len(job.pending) for job in self.jobs.values()
            ),
            'items_running': len(self._running),
        }

    def step(self) -> None:
        """Wait until a pass is due, then preempt and start items."""
        self._pacer.wait(self._busy())
        METER.steps['scheduler_looks'] += 1
        self.preempt_items()
        if self.may_dispatch.is_set():
            self.start_items()

    def on_loads_changed(self) -> None:
        """Wake the scheduler after a change of the counts if it has items."""
        if self._busy():
            self.wake.set()

    def preempt_items(self) -> None:
        """Preempt the newest items at replicas that exceed their slots."""
        replicas = {
            each.replica.incarnation: each.replica for each in self._running
        }
        for replica in replicas.values():
            loads = self._loads_at(replica)
            count = preemption_counts(replica.slots, loads)[self._name]
            if count:
                self._preempt_newest(replica, count)

    def start_items(self) -> None:
        """Claim free slots for the waiting items, the most urgent first."""
        full = set()
        for waiting in self._queue.urgent_first(self.jobs.values()):
            services = waiting.route.shares
            if services in full:
                continue
            replica = self._placement.choose(waiting.route, waiting.task)
            if replica is None and waiting.task.last_id is None:
                full.add(services)
            elif replica is not None:
                self._claim(waiting, replica)

    def stop_job(self, job: HeldJob) -> None:
        """Drop a job and stop its items in flight.

        Another hold of the same job, which may have followed this one, is
        left as it is.
        """
        if self._runs(job):
            self.jobs.pop(job.head.id)
        for each in list(self._running):
            if each.job is job:
                each.greenlet.kill(block=False)

    def stop_all(self) -> None:
        """Drop all jobs and stop their items in flight."""
        for job in list(self.jobs.values()):
            self.stop_job(job)

    def _runs(self, job: HeldJob) -> bool:
        return self.jobs.get(job.head.id) is job

    def _busy(self) -> bool:
        return bool(self.jobs or self._running)

    def _claim(self, waiting: WaitingItem, replica: Replica) -> None:
        """Announce to the peers a claim on a slot for an item."""
        waiting.job.pending.pop(waiting.task.index)
        claim = contextlib.ExitStack()
        # The claim is counted at once so that the choice of a replica for
        # the next item takes it into account.
        claim.enter_context(
            self.loads.count_request(replica.incarnation, WorkKind.claim)
        )
        METER.steps['claims'] += 1
        spawn(Part.claims, self._resolve_claim, waiting, replica, claim)

    def _resolve_claim(
        self,
        waiting: WaitingItem,
        replica: Replica,
        claim: contextlib.ExitStack,
    ) -> None:
        """Start an item if its claim is granted, else return it to waiting."""
        gevent.sleep(
            self._claims.decision_delay_s(self._cells.has_several_cells)
        )
        loads = self._loads_at(replica)
        incarnation = replica.incarnation
        kept = self._claims.grants(
            self._name, replica.slots, incarnation, loads
        )
        claim.close()
        if kept and self._may_start(waiting.job, replica):
            METER.steps['claims_kept'] += 1
            self._start(waiting, replica)
        else:
            waiting.job.pending[waiting.task.index] = waiting.task

    def _may_start(self, job: HeldJob, replica: Replica) -> bool:
        """Return whether an item may use the slot that it has claimed.

        Since the claim was announced, the job may have been dropped, starts
        may have been suspended, and the replica may have left or restarted.
        The slots of its new incarnation need new claims.
        """
        if self._fleet.get(replica.incarnation) is None:
            return False
        return self._runs(job) and self.may_dispatch.is_set()

    def _loads_at(self, replica: Replica) -> dict[str, Load]:
        """Return the request counts at a replica, keyed by entry."""
        loads = self.loads.peers_at(replica.incarnation)
        loads[self._name] = self.loads.own(replica.incarnation)
        return loads

    def _start(self, waiting: WaitingItem, replica: Replica) -> None:
        job, task = waiting.job, waiting.task
        if not self._placement.may_continue(task, replica):
            logs.emit(
                events.ITEM_STARTED_OVER,
                job=job.head.id,
                item=task.item.id,
                events=task.events,
                version=task.origin.version,
            )
            task.start_over()
        run = ItemRun(task, job.head, self._runner, self._clock)
        greenlet = PartGreenlet(run.execute, replica)
        greenlet.part = Part.items.value
        now = self._clock.monotonic()
        running = RunningItem(job, task, replica, greenlet, now, task.events)
        self._running.append(running)

        def ended(_: gevent.Greenlet) -> None:  # noqa: WPS430
            self._run_ended(running, waiting.route)

        greenlet.link(ended)
        load = self.loads.total_at(replica.incarnation)
        logs.emit(
            events.ITEM_STARTED,
            job=job.head.id,
            item=task.item.id,
            fingerprint=task.fingerprint,
            parts=task.parts,
            replica=replica.id,
            version=replica.version,
            after_event=task.last_id,
            online=load.online,
            batch=load.batch,
            loads_age_s=round(self.loads.age_s(), 3),
            held_s=round(now - job.held_at, 3),
        )
        greenlet.start()
        TRACE.mark(StartStep.item)

    def _run_ended(self, running: RunningItem, route: Route) -> None:
        self._running.remove(running)
        job, task = running.job, running.task
        task.waiting_since = self._clock.monotonic()
        run_outcome = running.greenlet.value
        logs.emit(
            events.ITEM_RUN_ENDED,
            job=job.head.id,
            item=task.item.id,
            replica=running.replica.id,
            outcome=run_outcome.value
            if isinstance(run_outcome, RunOutcome)
            else 'yielded',
            events=task.events,
            ran_s=round(self._clock.monotonic() - running.started_at, 4),
        )
        self._record_run_time(running, route)
        if run_outcome == RunOutcome.completed:
            self._queue.complete(job, task)
        elif run_outcome == RunOutcome.impossible:
            self._queue.give_up(job, task, GiveUpReason.impossible)
        elif run_outcome == RunOutcome.failed:
            self._failed(job, task, route)
        else:
            if run_outcome == RunOutcome.interrupted:
                self._queue.delay(task)
            job.pending[task.index] = task
        self.wake.set()

    def _record_run_time(self, running: RunningItem, route: Route) -> None:
        """Record the run time of a run, and of an item that has completed."""
        estimator = self._queue.run_times(route)
        run_s = self._clock.monotonic() - running.started_at
        estimator.record_run(running.events_made, run_s)
        if running.greenlet.value == RunOutcome.completed:
            estimator.record_completion(running.task.events)

    def _failed(self, job: HeldJob, task: ItemTask, route: Route) -> None:
        job.record_failure(task)
        if task.failures >= route.attempts:
            self._queue.give_up(job, task, GiveUpReason.failed)
            return
        self._queue.delay(task)
        job.pending[task.index] = task

    def _preempt_newest(self, replica: Replica, count: int) -> None:
        incarnation = replica.incarnation
        here = [
            each
            for each in self._running
            if each.replica.incarnation == incarnation
        ]
        live = [each for each in here if not each.greenlet.dead]
        for each in live[-count:]:
            metrics.PREEMPTED.inc({'service': replica.service})
            logs.emit(
                events.BATCH_PREEMPTED,
                job=each.job.head.id,
                item=each.task.item.id,
                replica=replica.id,
                events=each.task.events,
                online=self.loads.total_at(replica.incarnation).online,
            )
            each.greenlet.kill(block=False)
