"""Admission in front of one upstream: online first, batch fills the rest."""

from collections import Counter

from gevent.event import Event

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.errors import Overloaded
from cactusridge.orders import RunOrder, ServiceReport, WorkClass
from cactusridge.sidecar.controllers import BatchController, OnlineLoad
from cactusridge.sidecar.drain_rate import DrainRate
from cactusridge.sidecar.fair_queue import FairQueue
from cactusridge.sidecar.limits import ConcurrencyLimit
from cactusridge.startup.models import UpstreamSettings

MIN_RETRY_S = 0.5


class Ticket:
    """A place at the upstream, granted or waited for."""

    def __init__(self, order: RunOrder) -> None:
        """Wait for a place for ``order``."""
        self.order = order
        self.granted = Event()
        self.asked_to_yield = Event()

    @property
    def work(self) -> WorkClass:
        """Return whose work this is."""
        return self.order.work


class Gate:
    """Grants places; takes them from batch when online needs them."""

    def __init__(
        self,
        cfg: UpstreamSettings,
        limit: ConcurrencyLimit,
        controller: BatchController,
        clock: Clock,
    ) -> None:
        """Admit to the upstream in ``cfg``."""
        self.cfg = cfg
        self.online_limit = limit
        self.controller = controller
        self.token_s = float(0)
        self._drain_rate = DrainRate(clock)
        self._running: list[Ticket] = []
        self._online: FairQueue = FairQueue()
        self._batch: FairQueue = FairQueue()
        self._counts: Counter[WorkClass] = Counter()

    def enter(self, order: RunOrder) -> Ticket:
        """Wait for a place; raise Overloaded at once when none can come."""
        ticket = Ticket(order)
        if order.work == WorkClass.online:
            self._check_online(order)
            self._online.push(order.team, order.share, 0, ticket)
        else:
            self._check_batch()
            self._push_batch(ticket)
        self._dispatch()
        self._wait(ticket)
        return ticket

    def reenter(self, ticket: Ticket) -> Ticket:
        """Wait again, after yielding, before batch that came later."""
        again = Ticket(ticket.order)
        self._push_batch(again)
        self._dispatch()
        self._wait(again)
        return again

    def leave(self, ticket: Ticket) -> None:
        """Give the place back."""
        self._running.remove(ticket)
        self._counts[ticket.work] -= 1
        if ticket.work == WorkClass.online:
            self._drain_rate.released(waiting=len(self._online) > 0)
        self._dispatch()

    def tick(self) -> None:
        """Look again; the controller's level changes with time."""
        self._dispatch()

    def report(self) -> ServiceReport:
        """Return the load now."""
        return ServiceReport(
            online_running=self._counts[WorkClass.online],
            online_waiting=len(self._online),
            batch_running=self._counts[WorkClass.batch],
            batch_waiting=len(self._batch),
            online_limit=self.online_limit.current(),
            batch_limit=self.controller.limit(self._load()),
            wait_s=self._drain_rate.wait_s(len(self._online)),
            token_s=self.token_s,
        )

    def _wait(self, ticket: Ticket) -> None:
        order = ticket.order
        try:
            granted = ticket.granted.wait(order.deadline_s)
        except BaseException:
            self._abandon(ticket)
            raise
        if not granted:
            self._abandon(ticket)
            raise Overloaded(
                'no place came free before the deadline',
                retry_after_s=self._retry_after(),
            )

    def _abandon(self, ticket: Ticket) -> None:
        if self._online.discard(ticket) or self._batch.discard(ticket):
            return
        if ticket in self._running:
            self.leave(ticket)

    def _push_batch(self, ticket: Ticket) -> None:
        order = ticket.order
        self._batch.push(order.team, order.share, order.slack_s, ticket)

    def _check_online(self, order: RunOrder) -> None:
        free = self.online_limit.current() - self._counts[WorkClass.online]
        waiting = len(self._online)
        if free > waiting:
            return
        expected_s = self._drain_rate.wait_s(waiting - free + 1)
        if expected_s > order.deadline_s or waiting >= self.cfg.max_waiting:
            raise Overloaded(
                f'the wait would be {expected_s:.2f} s',
                retry_after_s=self._retry_after(),
            )

    def _check_batch(self) -> None:
        if len(self._batch) >= self.cfg.batch_waiting:
            raise Overloaded(
                'enough batch work waits here',
                retry_after_s=MIN_RETRY_S,
            )

    def _retry_after(self) -> float:
        expected_s = self._drain_rate.wait_s(len(self._online) + 1)
        return max(MIN_RETRY_S, expected_s)

    def _load(self) -> OnlineLoad:
        return OnlineLoad(self._counts[WorkClass.online], len(self._online))

    def _dispatch(self) -> None:
        while self._online and self._online_fits():
            self._grant(self._online.pop())
        self._reclaim()
        while self._batch and self._batch_fits():
            self._grant(self._batch.pop())
        self._show()

    def _online_fits(self) -> bool:
        under_limit = (
            self._counts[WorkClass.online] < self.online_limit.current()
        )
        return under_limit and len(self._running) < self.cfg.slots

    def _batch_fits(self) -> bool:
        running = self._counts[WorkClass.batch]
        if any(ticket.order.solo for ticket in self._running):
            return False
        if self._batch_head_solo() and running:
            return False
        allowed = self.controller.limit(self._load())
        return running < allowed and len(self._running) < self.cfg.slots

    def _batch_head_solo(self) -> bool:
        head = self._batch.peek()
        return head is not None and head.order.solo

    def _grant(self, ticket: Ticket) -> None:
        self._running.append(ticket)
        self._counts[ticket.work] += 1
        ticket.granted.set()

    def _reclaim(self) -> None:
        """Ask the newest batch runs to yield what online needs."""
        allowed = self.controller.limit(self._load())
        over = self._counts[WorkClass.batch] - allowed
        yielding = [
            ticket for ticket in self._running if ticket.asked_to_yield.is_set()
        ]
        candidates = [
            ticket
            for ticket in reversed(self._running)
            if ticket.work == WorkClass.batch
            and ticket.order.repeatable
            and not ticket.asked_to_yield.is_set()
        ]
        for ticket in candidates[: max(0, over - len(yielding))]:
            logs.emit(events.BATCH_PREEMPTED, order=ticket.order.id)
            metrics.PREEMPTED.inc({'service': self.cfg.service})
            ticket.asked_to_yield.set()

    def _show(self) -> None:
        waiting = {
            WorkClass.online: len(self._online),
            WorkClass.batch: len(self._batch),
        }
        limits = {
            WorkClass.online: self.online_limit.current(),
            WorkClass.batch: self.controller.limit(self._load()),
        }
        for work, count in waiting.items():
            labels = {'service': self.cfg.service, 'class': work.value}
            metrics.WAITING.set(labels, count)
            metrics.RUNNING.set(labels, self._counts[work])
            metrics.LIMIT.set(labels, limits[work])
