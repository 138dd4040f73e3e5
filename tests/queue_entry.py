"""One entry of a simulated fleet at which callers wait for slots."""

from typing import Any

import orjson

from cactusridge.dispatch.online_call import OnlineCall, Progress
from cactusridge.dispatch.placement import LeastOnline
from cactusridge.dispatch.queueing import Queueing
from cactusridge.dispatch.retry_after import AfterBurst
from cactusridge.dispatch.wait_too_long import WaitTooLong
from cactusridge.peers.cell_rules import ByZone
from cactusridge.queueing.admission_queue import (
    CHECK_INTERVAL_S,
    AdmissionQueue,
)
from cactusridge.queueing.call_rules import CallRules
from cactusridge.queueing.waiting_request import WaitingRequest
from tests.burst_entry import Entry
from tests.waiting_calls import CATALOG, HOLD_S

# Bounds of the latency between entries with the iterations of two event
# loops, in seconds.
LATENCY_S = (0.0005, 0.005)


class QueueEntry(Entry):
    """An entry whose callers may wait; its messages take some time."""

    def __init__(self, play: Any, place: Any, queueing: Queueing | None):
        """Create an entry; without ``queueing`` it has the fair queue."""
        super().__init__(play, place, ByZone(), LeastOnline(), HOLD_S)
        returns = AfterBurst(play.rng)
        policies = self.attempts._policies._replace(returns=returns)
        self.attempts._policies = policies
        self.queue = queueing or AdmissionQueue(
            self.has_free_slot,
            self.cells,
            CallRules(lambda: CATALOG),
            play.clock,
            play.rng,
        )
        self._waits: dict[WaitingRequest, OnlineCall] = {}
        self._looks = False
        if isinstance(self.queue, AdmissionQueue):
            self.loads.on_change(self._wake)
            self.exchange.on_loads(self._wake)

    def ask(self, call: OnlineCall, waited: bool = False) -> None:
        """Send a call to a replica, let it wait, or refuse it."""
        try:
            replica = self.attempts.choose(call, Progress())
        except WaitTooLong as refusal:
            self._wait(call, refusal)
            return
        self._play.start(self, call, replica, waited)

    def send(self, targets, message):
        """Deliver a message of the exchange after a random latency."""
        raw = orjson.dumps(message)
        for target in targets:
            peer = self._play.entries[target]
            in_s = self._play.rng.uniform(*LATENCY_S)
            self._play.at(in_s, peer.receive, raw, self.address)

    def has_free_slot(self, service: str) -> bool:
        """Return whether a waiting request may start."""
        return self.attempts.has_free_slot(service)

    def take_delay_s(self) -> float:
        """Return the delay before the next step, in seconds."""
        return self.queue.take_delay_s()

    def look(self) -> None:
        """Do one step of the queue, as its greenlet does."""
        self._looks = False
        self.queue.check_due()
        if self.start_next():
            self._wake()

    def start_next(self) -> bool:
        """Start a request if a slot is free; return whether one started."""
        started = self.queue.start_next()
        self.end_waits()
        return started

    def end_waits(self) -> None:
        """Go on with the requests whose waits have ended."""
        ended = [each for each in self._waits if each.ended.is_set()]
        for request in ended:
            call = self._waits.pop(request)
            self.queue.leave(request)
            if request.error is None:
                self.ask(call, waited=True)
            else:
                self._play.refuse(call, request.error, waited=True)

    def _wait(self, call: OnlineCall, refusal: WaitTooLong) -> None:
        try:
            request = self._enter(call, refusal)
        except WaitTooLong:
            self._play.refuse(call, refusal, waited=False)
            return
        self._waits[request] = call
        self.end_waits()
        self._wake()
        self._check_later()

    def _enter(self, call, refusal):
        if isinstance(self.queue, AdmissionQueue):
            return self.queue.enter(call, refusal)
        return self.queue.wait(call, refusal)

    def _check_later(self) -> None:
        self._play.at(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        if self._waits:
            self._wake()
            self._check_later()

    def _wake(self) -> None:
        if self._waits and not self._looks:
            self._looks = True
            self._play.at(self.take_delay_s(), self.look)
