"""Queue of the batch items that may start now, the most urgent first."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.dispatch.catalog import AcceptedWork, Catalog, Route
from cactusridge.dispatch.route_cache import RouteCache
from cactusridge.dispatch.upstream import HeaderList
from cactusridge.jobs.held_job import HeldJob
from cactusridge.jobs.item_run import ItemTask
from cactusridge.jobs.model import GiveUpReason, ItemState
from cactusridge.jobs.run_times import RunTimeEstimator
from cactusridge.jobs.urgency import ItemTimes, Urgency, UrgencyClass
from cactusridge.store.store_clock import MS, StoreClock

# Delay in seconds before an interrupted item may start again, so that it is
# not sent at once to a replica that is full or that closes connections.
INTERRUPTED_PAUSE_S = 0.15
# Time in seconds by which an item is given up later than the route allows, so
# that a job which its caller has submitted again later is not cut short.
GIVE_UP_MARGIN_S = 3.0


def no_parts(headers: HeaderList) -> tuple[str, ...]:
    """Return no parts, of prompts whose protocol does not state them."""
    return ()


class WaitingItem(NamedTuple):
    """An item that may start, its rank in the queue and its route."""

    rank: tuple[UrgencyClass, float]
    index: int
    job: HeldJob
    task: ItemTask
    route: Route


class ItemQueue:
    """Orders the pending items of held jobs and gives up expired items."""

    def __init__(
        self,
        clock: Clock,
        store_clock: StoreClock,
        catalog: Callable[[], Catalog],
        urgency: Urgency,
        shared_parts: Callable[[HeaderList], tuple[str, ...]] = no_parts,
    ) -> None:
        """Use the routes of the catalog that ``catalog`` returns.

        ``shared_parts`` returns the keys of the shared parts of a prompt.
        """
        self._shared_parts = shared_parts
        self._clock = clock
        self._store_clock = store_clock
        self._catalog = catalog
        self._urgency = urgency
        # By host and prefix, since a route may come under another name.
        self._run_times: dict[tuple[str, str], RunTimeEstimator] = {}
        self._routes = RouteCache()

    def urgent_first(self, jobs: Iterable[HeldJob]) -> list[WaitingItem]:
        """Return the items of ``jobs`` that may start, most urgent first."""
        return sorted(self._waiting_items(list(jobs)), key=_sort_key)

    def run_times(self, route: Route) -> RunTimeEstimator:
        """Return the run time estimator of a route's items."""
        place = (route.host, route.prefix)
        found = self._run_times.get(place)
        if found is None:
            found = RunTimeEstimator()
            self._run_times[place] = found
        return found

    def delay(self, task: ItemTask) -> None:
        """Delay the next start of an interrupted or failed item."""
        task.not_before = self._clock.monotonic() + INTERRUPTED_PAUSE_S

    def complete(self, job: HeldJob, task: ItemTask) -> None:
        """Record the output of an item and remove it from its job."""
        self._finish(job, task, ItemState.completed)

    def give_up(
        self, job: HeldJob, task: ItemTask, reason: GiveUpReason
    ) -> None:
        """Give up an item for ``reason`` and remove it from its job."""
        logs.emit(
            events.ITEM_FAILED,
            job=job.head.id,
            item=task.item.id,
            reason=reason,
            failures=task.failures,
            age_s=round(self._age_s(job), 3),
            route=job.head.path,
            catalog=self._catalog().version,
        )
        self._finish(job, task, ItemState.given_up)

    def _waiting_items(self, jobs: list[HeldJob]) -> list[WaitingItem]:
        if not self._store_clock.is_known:
            # Nothing is started or given up by a guessed age.
            return []
        now = self._clock.monotonic()
        found = []
        for job in jobs:
            for task in list(job.pending.values()):
                if task.not_before > now:
                    continue
                waiting = self._queue_entry(job, task)
                if waiting is not None:
                    found.append(waiting)
        return found

    def _queue_entry(self, job: HeldJob, task: ItemTask) -> WaitingItem | None:
        """Return the queue entry of an item, or None if it may not start.

        An item without a route, or whose time has expired, is given up.
        """
        catalog = self._catalog()
        if not catalog.version or catalog.version < job.head.catalog_version:
            # This entry has no catalog, or one older than the job: a route
            # that is missing here may be in a newer catalog.
            return None
        route = self._routes.route_of(
            catalog,
            AcceptedWork(
                job.head.host,
                job.head.path,
                task.item.path.partition('?')[0],
                is_batch=True,
            ),
        )
        age_s = self._age_s(job)
        if route is None:
            self.give_up(job, task, GiveUpReason.no_route)
            return None
        if age_s > route.abandon_after_s + GIVE_UP_MARGIN_S:
            self.give_up(job, task, GiveUpReason.expired)
            return None
        if task.parts is None:
            task.parts = self._shared_parts(list(task.item.headers.items()))
        times = ItemTimes(
            route.due_s - age_s,
            route.abandon_after_s - age_s,
            self.run_times(route).remaining_s(task.events),
        )
        rank = self._urgency.rank(times)
        return WaitingItem(rank, task.index, job, task, route)

    def _age_s(self, job: HeldJob) -> float:
        """Return the seconds since the submission of a job."""
        return (self._store_clock.now_ms() - job.head.created_ms) / MS

    def _finish(self, job: HeldJob, task: ItemTask, state: ItemState) -> None:
        """Record the final state of an item and remove it from its job."""
        job.pending.pop(task.index, None)
        job.record_end(task, state)


def _sort_key(waiting: WaitingItem) -> tuple[tuple[UrgencyClass, float], int]:
    return waiting.rank, waiting.index
