"""Admission control of one upstream; online requests go before batch."""

from collections import Counter

from gevent.event import Event

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.errors import Overloaded
from cactusridge.orders import RunOrder, ServiceReport, WorkClass
from cactusridge.routing.fair_queue import FairQueue
from cactusridge.sidecar.controllers import BatchController, OnlineLoad
from cactusridge.sidecar.drain_rate import DrainRate
from cactusridge.sidecar.limits import ConcurrencyLimit
from cactusridge.startup.models import UpstreamSettings

MIN_RETRY_S = 0.5


class AdmissionTicket:
    """A slot at the upstream that an order holds or waits for."""

    def __init__(self, order: RunOrder) -> None:
        """Create a ticket for ``order`` that holds no slot yet."""
        self.order = order
        self.granted = Event()
        self.preempt_requested = Event()

    @property
    def work(self) -> WorkClass:
        """Return whether the order is online or batch work."""
        return self.order.work


class AdmissionGate:
    """Grants the slots of one upstream to online and batch orders.

    When online orders need slots, running batch orders that may be
    repeated are preempted.
    """

    def __init__(
        self,
        cfg: UpstreamSettings,
        limit: ConcurrencyLimit,
        controller: BatchController,
        clock: Clock,
    ) -> None:
        """Control admission to the upstream that ``cfg`` describes.

        ``limit`` bounds running online orders, ``controller`` batch orders.
        """
        self.cfg = cfg
        self.online_limit = limit
        self.controller = controller
        self.token_s = float(0)
        self._drain_rate = DrainRate(clock)
        self._running: list[AdmissionTicket] = []
        self._online: FairQueue = FairQueue()
        self._batch: FairQueue = FairQueue()
        self._counts: Counter[WorkClass] = Counter()

    def acquire(self, order: RunOrder) -> AdmissionTicket:
        """Wait for a slot and return the ticket that holds it.

        Raises Overloaded at once if the queue is full or the expected wait
        exceeds the deadline, and later if the deadline passes in the queue.
        """
        ticket = AdmissionTicket(order)
        if order.work == WorkClass.online:
            self._check_online(order)
            self._online.push(order.team, order.share, 0, ticket)
        else:
            self._check_batch()
            self._push_batch(ticket)
        self._dispatch()
        self._wait(ticket)
        return ticket

    def requeue(self, ticket: AdmissionTicket) -> AdmissionTicket:
        """Wait for a slot again after a preemption; return the new ticket.

        The order keeps its slack, so that it stays ahead of orders of its
        team with more slack. The limit on the queue length is not applied.
        """
        requeued = AdmissionTicket(ticket.order)
        self._push_batch(requeued)
        self._dispatch()
        self._wait(requeued)
        return requeued

    def release(self, ticket: AdmissionTicket) -> None:
        """Release the slot of ``ticket`` and admit waiting orders."""
        self._running.remove(ticket)
        self._counts[ticket.work] -= 1
        if ticket.work == WorkClass.online:
            self._drain_rate.record_release(waiting=len(self._online) > 0)
        self._dispatch()

    def admit_waiting(self) -> None:
        """Admit waiting orders; the controller's limit changes over time."""
        self._dispatch()

    def report(self) -> ServiceReport:
        """Return the current load, limits and expected waits."""
        return ServiceReport(
            online_running=self._counts[WorkClass.online],
            online_waiting=len(self._online),
            batch_running=self._counts[WorkClass.batch],
            batch_waiting=len(self._batch),
            online_limit=self.online_limit.current(),
            batch_limit=self.controller.limit(self._load()),
            wait_s=self._drain_rate.expected_wait_s(len(self._online)),
            token_s=self.token_s,
        )

    def _wait(self, ticket: AdmissionTicket) -> None:
        order = ticket.order
        try:
            granted = ticket.granted.wait(order.deadline_s)
        except BaseException:
            self._withdraw(ticket)
            raise
        if not granted:
            self._withdraw(ticket)
            raise Overloaded(
                'no slot became free before the deadline',
                retry_after_s=self._retry_after(),
            )

    def _withdraw(self, ticket: AdmissionTicket) -> None:
        if self._online.discard(ticket) or self._batch.discard(ticket):
            return
        if ticket in self._running:
            self.release(ticket)

    def _push_batch(self, ticket: AdmissionTicket) -> None:
        order = ticket.order
        self._batch.push(order.team, order.share, order.slack_s, ticket)

    def _check_online(self, order: RunOrder) -> None:
        free = self.online_limit.current() - self._counts[WorkClass.online]
        waiting = len(self._online)
        if free > waiting:
            return
        expected_s = self._drain_rate.expected_wait_s(waiting - free + 1)
        if expected_s > order.deadline_s or waiting >= self.cfg.max_waiting:
            raise Overloaded(
                f'the expected wait is {expected_s:.2f} s',
                retry_after_s=self._retry_after(),
            )

    def _check_batch(self) -> None:
        if len(self._batch) >= self.cfg.batch_waiting:
            raise Overloaded(
                'the queue of batch requests is full',
                retry_after_s=MIN_RETRY_S,
            )

    def _retry_after(self) -> float:
        expected_s = self._drain_rate.expected_wait_s(len(self._online) + 1)
        return max(MIN_RETRY_S, expected_s)

    def _load(self) -> OnlineLoad:
        return OnlineLoad(self._counts[WorkClass.online], len(self._online))

    def _dispatch(self) -> None:
        while self._online and self._online_fits():
            self._grant_ticket(self._online.pop())
        self._preempt_batch()
        while self._batch and self._batch_fits():
            self._grant_ticket(self._batch.pop())
        self._update_metrics()

    def _online_fits(self) -> bool:
        under_limit = (
            self._counts[WorkClass.online] < self.online_limit.current()
        )
        return under_limit and len(self._running) < self.cfg.slots

    def _batch_fits(self) -> bool:
        running = self._counts[WorkClass.batch]
        if any(ticket.order.solo for ticket in self._running):
            return False
        if self._next_batch_is_solo() and running:
            return False
        allowed = self.controller.limit(self._load())
        return running < allowed and len(self._running) < self.cfg.slots

    def _next_batch_is_solo(self) -> bool:
        head = self._batch.peek()
        return head is not None and head.order.solo

    def _grant_ticket(self, ticket: AdmissionTicket) -> None:
        self._running.append(ticket)
        self._counts[ticket.work] += 1
        ticket.granted.set()

    def _preempt_batch(self) -> None:
        """Request preemption of the batch orders above the batch limit.

        The orders granted last are preempted first, and only those that may
        be repeated. Orders already asked to stop count towards the number.
        """
        allowed = self.controller.limit(self._load())
        over = self._counts[WorkClass.batch] - allowed
        preempted = [
            ticket
            for ticket in self._running
            if ticket.preempt_requested.is_set()
        ]
        candidates = [
            ticket
            for ticket in reversed(self._running)
            if ticket.work == WorkClass.batch
            and ticket.order.repeatable
            and not ticket.preempt_requested.is_set()
        ]
        for ticket in candidates[: max(0, over - len(preempted))]:
            logs.emit(events.BATCH_PREEMPTED, order=ticket.order.id)
            metrics.PREEMPTED.inc({'service': self.cfg.service})
            ticket.preempt_requested.set()

    def _update_metrics(self) -> None:
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
