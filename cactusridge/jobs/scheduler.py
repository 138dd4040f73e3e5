"""Starts items where slots are free and ends them where they are not."""

import random
from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.event import Event

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.dispatch.catalog import Catalog, Route
from cactusridge.dispatch.fleet_view import FleetView
from cactusridge.dispatch.loads import LoadTable
from cactusridge.dispatch.replica import Replica
from cactusridge.dispatch.run import Runner
from cactusridge.dispatch.yielding import room, shares_to_yield
from cactusridge.jobs.held_job import HeldJob
from cactusridge.jobs.item_run import ItemRun, ItemTask, RunEnd
from cactusridge.jobs.model import ItemState
from cactusridge.store.store_clock import MS, StoreClock

# With nothing else to wake it the scheduler looks this often: a peer's
# silence or a replica's recovery frees slots without a word.
TICK_S = 0.1
# Without any item to run there is nothing that could be overlooked.
IDLE_TICK_S = 2.0
# Pause of an item whose run was interrupted, in seconds: a replica that
# is full or breaking off is not asked again within a step or two.
INTERRUPTED_PAUSE_S = 0.15
# An item is given up this many seconds after it may be, so that a job
# that was sent again later by its caller is not cut short.
GIVE_UP_MARGIN_S = 3.0


class Running(NamedTuple):
    """An item at a replica."""

    job: HeldJob
    task: ItemTask
    replica: Replica
    greenlet: gevent.Greenlet


class Waiting(NamedTuple):
    """An item that could start, with what decides its place in the line."""

    due_ms: float
    index: int
    job: HeldJob
    task: ItemTask
    route: Route


class BatchScheduler:
    """Runs the items of held jobs in what online requests leave free."""

    def __init__(
        self,
        name: str,
        fleet: FleetView,
        runner: Runner,
        clock: Clock,
        store_clock: StoreClock,
        catalog: Callable[[], Catalog],
    ) -> None:
        """Run items as the entry ``name`` by the ``catalog`` in force."""
        self.wake = Event()
        self.may_dispatch = Event()
        self.jobs: dict[str, HeldJob] = {}
        self._name = name
        self._fleet = fleet
        self._runner = runner
        self._clock = clock
        self._store_clock = store_clock
        self._catalog = catalog
        self._running: list[Running] = []
        self._not_before: dict[str, float] = {}
        self._rng = random.Random()  # noqa: S311

    @property
    def loads(self) -> LoadTable:
        """Return the counts that decisions are made from."""
        return self._runner.loads

    def step(self) -> None:
        """Yield and start when something has changed, or after a while."""
        self.wake.wait(TICK_S if self._busy() else IDLE_TICK_S)
        self.wake.clear()
        self.make_room()
        if self.may_dispatch.is_set():
            self.start_items()

    def loads_changed(self) -> None:
        """Look again if there is anything to yield or to start."""
        if self._busy():
            self.wake.set()

    def make_room(self) -> None:
        """End the newest items at replicas that are over their slots."""
        replicas = {each.replica.id: each.replica for each in self._running}
        for replica in replicas.values():
            loads = self.loads.peers_at(replica.id)
            loads[self._name] = self.loads.own(replica.id)
            count = shares_to_yield(replica.slots, loads)[self._name]
            if count:
                self._end_newest(replica, count)

    def start_items(self) -> None:
        """Start waiting items, the most urgent first, while there is room."""
        for waiting in sorted(self._waiting(), key=_urgency):
            replica = self._replica_with_room(waiting.route)
            if replica is not None:
                self._start(waiting, replica)

    def stop_job(self, job_id: str) -> None:
        """End what runs of a job and forget it."""
        self.jobs.pop(job_id, None)
        for each in list(self._running):
            if each.job.head.id == job_id:
                each.greenlet.kill(block=False)

    def stop_all(self) -> None:
        """End everything that runs."""
        for job_id in list(self.jobs):
            self.stop_job(job_id)

    def _busy(self) -> bool:
        return bool(self.jobs or self._running)

    def _waiting(self) -> list[Waiting]:
        now = self._clock.monotonic()
        found = []
        for job in list(self.jobs.values()):
            for task in list(job.pending.values()):
                if self._not_before.get(task.item.id, 0) > now:
                    continue
                waiting = self._place_in_line(job, task)
                if waiting is not None:
                    found.append(waiting)
        return found

    def _place_in_line(self, job: HeldJob, task: ItemTask) -> Waiting | None:
        """Return an item's place, or None after giving it up."""
        catalog = self._catalog()
        if not catalog.version:
            return None
        path = task.item.path.partition('?')[0]
        route = catalog.match(job.head.host, path)
        age_s = (self._store_clock.now_ms() - job.head.created_ms) / MS
        if route is None:
            self._end(job, task, ItemState.given_up)
            return None
        if age_s > route.give_up_s + GIVE_UP_MARGIN_S:
            self._end(job, task, ItemState.given_up)
            return None
        due_ms = job.head.created_ms + route.due_s * MS
        return Waiting(due_ms, task.index, job, task, route)

    def _replica_with_room(self, route: Route) -> Replica | None:
        ready = {
            replica.id: replica
            for share in route.shares
            if share.weight
            for replica in self._fleet.ready(share.service)
        }
        allowed = self._runner.health.allowed(ready)
        free = [
            (
                room(ready[key].slots, self.loads.at(key)),
                self._rng.random(),
                key,
            )
            for key in allowed
        ]
        most = max(free, default=(0, 0, ''))
        return ready[most[-1]] if most[0] else None

    def _start(self, waiting: Waiting, replica: Replica) -> None:
        job, task = waiting.job, waiting.task
        job.pending.pop(task.index)
        run = ItemRun(task, job.head.host, self._runner, self._clock)
        greenlet = gevent.Greenlet(run.go, replica)
        running = Running(job, task, replica, greenlet)
        self._running.append(running)

        def ended(_: gevent.Greenlet) -> None:  # noqa: WPS430
            self._ended(running, waiting.route)

        greenlet.link(ended)
        load = self.loads.at(replica.id)
        logs.emit(
            events.ITEM_STARTED,
            job=job.head.id,
            item=task.item.id,
            replica=replica.id,
            after_event=task.last_id,
            online=load.online,
            batch=load.batch,
            loads_age_s=round(self.loads.age_s(), 3),
        )
        # Counts the item in the load at once: the next choice sees it.
        greenlet.start()
        gevent.sleep(0)

    def _ended(self, running: Running, route: Route) -> None:
        self._running.remove(running)
        job, task = running.job, running.task
        end = running.greenlet.value
        logs.emit(
            events.ITEM_RUN_ENDED,
            job=job.head.id,
            item=task.item.id,
            replica=running.replica.id,
            outcome=end.value if isinstance(end, RunEnd) else 'yielded',
            events=len(task.texts),
        )
        if end == RunEnd.completed:
            self._end(job, task, ItemState.completed)
        elif end == RunEnd.impossible:
            self._end(job, task, ItemState.given_up)
        elif end == RunEnd.failed:
            self._failed(job, task, route)
        else:
            if end == RunEnd.interrupted:
                self._pause(task)
            job.pending[task.index] = task
        self.wake.set()

    def _failed(self, job: HeldJob, task: ItemTask, route: Route) -> None:
        job.note_failure(task)
        if task.failures >= route.attempts:
            self._end(job, task, ItemState.given_up)
            return
        self._pause(task)
        job.pending[task.index] = task

    def _pause(self, task: ItemTask) -> None:
        now = self._clock.monotonic()
        self._not_before[task.item.id] = now + INTERRUPTED_PAUSE_S

    def _end(self, job: HeldJob, task: ItemTask, state: ItemState) -> None:
        job.pending.pop(task.index, None)
        self._not_before.pop(task.item.id, None)
        job.note_end(task, state)

    def _end_newest(self, replica: Replica, count: int) -> None:
        here = [each for each in self._running if each.replica == replica]
        live = [each for each in here if not each.greenlet.dead]
        for each in live[-count:]:
            metrics.PREEMPTED.inc({'service': replica.service})
            logs.emit(
                events.BATCH_PREEMPTED,
                job=each.job.head.id,
                item=each.task.item.id,
                replica=replica.id,
                events=len(each.task.texts),
                online=self.loads.at(replica.id).online,
            )
            each.greenlet.kill(block=False)


def _urgency(waiting: Waiting) -> tuple[float, int]:
    return waiting.due_ms, waiting.index
