"""Lets requests wait at this entry until a slot is free."""

import random
from collections.abc import Callable

import gevent
from gevent.event import Event

from cactusridge.clock import Clock
from cactusridge.dispatch.online_call import OnlineCall
from cactusridge.dispatch.queueing import Queueing
from cactusridge.dispatch.wait_too_long import WaitTooLong
from cactusridge.dispatch.waiting_summary import WaitingSummary
from cactusridge.errors import (
    CactusridgeError,
    CallerDisconnected,
    Draining,
    Overloaded,
)
from cactusridge.peers.cells import Cells
from cactusridge.queueing.call_rules import CallRules
from cactusridge.queueing.decision import Decision, Prospect, decide
from cactusridge.queueing.outcome import Outcome
from cactusridge.queueing.pace import Pace, shared_pace
from cactusridge.queueing.queue_log import QueueLog
from cactusridge.queueing.turns import Turn
from cactusridge.queueing.waiting_line import WaitingLine
from cactusridge.queueing.waiting_request import WaitingRequest

# Longest random delay before a waiting request takes a free slot, in seconds.
# All entries of a cell see the slot within milliseconds; the delays let one of
# them announce its request before the others look again.
MAX_TAKE_DELAY_S = 0.01
# Interval, in seconds, at which it is checked whether each wait is in vain,
# and whether a slot is free although no counts changed: a small part of the
# second or more that callers have left.
CHECK_INTERVAL_S = 0.1


class AdmissionQueue(Queueing):
    """Lets callers wait that have come back and can still be served.

    They start in the order of ``Turns``, and only while a replica has a spare
    slot (see ``has_spare_slot``), so that no request on time is delayed.
    """

    def __init__(
        self,
        has_free_slot: Callable[[str], bool],
        cells: Cells,
        rules: CallRules,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Let requests wait until ``has_free_slot`` is True of a service."""
        self._has_free_slot = has_free_slot
        self._cells = cells
        self._rules = rules
        self._clock = clock
        self._rng = rng
        self._line = WaitingLine()
        self._log = QueueLog()
        self._wake = Event()
        self._closed = False
        self._checked_at = float(0)

    def wait(self, call: OnlineCall, refusal: WaitTooLong) -> None:
        """Return when the request may try again; see ``Queueing.wait``."""
        request = self.enter(call, refusal)
        call.caller.on_disconnect(
            lambda: self._end(
                request, Outcome.disconnected, CallerDisconnected()
            )
        )
        try:
            # The timeout matters only if the greenlet of the queue fails.
            request.ended.wait(call.deadline_at - request.since)
        finally:
            call.caller.on_disconnect(None)
            self.leave(request)
        if request.outcome == Outcome.interrupted:
            raise Overloaded('the wait did not end before the deadline')
        if request.error is not None:
            raise request.error

    def summary(self) -> list[WaitingSummary]:
        """Return the waiting requests by service, priority, organisation."""
        return self._line.summary(self._clock.monotonic())

    def close(self) -> None:
        """Refuse all waiting requests, which may return at once elsewhere."""
        self._closed = True
        for request in self._line:
            self._end(request, Outcome.stopped, Draining(retry_after_s=0))

    def on_change(self) -> None:
        """Look for free slots soon, after a change of any counts."""
        if self._line:
            self._wake.set()

    def step(self) -> None:
        """Wait for a change, then start the requests that have a slot."""
        self._wake.wait(CHECK_INTERVAL_S if self._line else None)
        self._wake.clear()
        gevent.sleep(self.take_delay_s())
        self.check_due()
        if self.start_next():
            self._wake.set()

    def enter(self, call: OnlineCall, refusal: WaitTooLong) -> WaitingRequest:
        """Return the wait of a request; raise ``refusal`` if it may not."""
        if self._closed or not call.req.organisation:
            raise refusal
        now = self._clock.monotonic()
        request = WaitingRequest(
            call,
            refusal.service,
            Turn(
                self._rules.priority(call),
                call.req.organisation,
                call.deadline_at,
            ),
            self._pace(refusal),
            now,
        )
        self._line.add(request)
        request.place = self._line.places(request.service)[request]
        prospect = Prospect(
            call.deadline_at - now,
            call.route.timeout_s,
            refusal.estimate.wait_s,
            request.place,
            request.pace,
        )
        if decide(prospect) != Decision.wait:
            self._line.discard(request)
            raise refusal
        self._log.queued(request, self._line.count(request.service))
        for excess in self._line.pop_excess():
            excess.end(
                Outcome.displaced,
                Overloaded('too many requests wait at this entry'),
            )
        self._wake.set()
        return request

    def leave(self, request: WaitingRequest) -> None:
        """Record the end of a wait."""
        self._line.discard(request)
        waited_s = self._clock.monotonic() - request.since
        waiting = self._line.count(request.service)
        self._log.dequeued(request, waited_s, waiting)

    def take_delay_s(self) -> float:
        """Return a random delay before a free slot is taken, in seconds."""
        return self._rng.uniform(0, MAX_TAKE_DELAY_S)

    def start_next(self) -> bool:
        """Start the next request of each service that has a free slot.

        Returns whether any request was started. Each is sent and counted
        before the next call, so that no slot is used twice.
        """
        started = False
        for service in self._line.services():
            if self._has_free_slot(service):
                self._line.take(service).end(Outcome.started)
                started = True
        return started

    def check_due(self) -> None:
        """End the waits that are in vain, once in ``CHECK_INTERVAL_S``."""
        now = self._clock.monotonic()
        if now - self._checked_at < CHECK_INTERVAL_S:
            return
        self._checked_at = now
        for service in self._line.services():
            places = self._line.places(service)
            ended = 0
            for request in sorted(places, key=places.__getitem__):
                self._check(request, places[request] - ended)
                ended += request.ended.is_set()

    def _check(self, request: WaitingRequest, place: int) -> None:
        try:
            self._rules.check(request.call)
        except CactusridgeError as exc:
            self._end(request, Outcome.withdrawn, exc)
            return
        left_s = request.turn.deadline_at - self._clock.monotonic()
        if request.pace.served_in_s(place) > left_s:
            refusal = Overloaded('no slot becomes free before the deadline')
            self._end(request, Outcome.unservable, refusal)

    def _end(
        self,
        request: WaitingRequest,
        outcome: Outcome,
        error: CactusridgeError,
    ) -> None:
        request.end(outcome, error)
        self._line.discard(request)

    def _pace(self, refusal: WaitTooLong) -> Pace:
        local = self._cells.of_service(refusal.service).local
        estimate = refusal.estimate
        return shared_pace(
            estimate.slot_s,
            estimate.slots,
            len(local),
            len(self._cells.local_names()),
        )
