"""Runs one order: waits for a slot, calls the upstream, sends frames."""

from collections.abc import Callable, Iterator

import gevent
from gevent.event import Event
from gevent.queue import Empty, Queue

from cactusridge import events, logs
from cactusridge.errors import (
    CactusridgeError,
    DeadlineExceeded,
    Draining,
    Overloaded,
    StopLimit,
)
from cactusridge.http import frames
from cactusridge.http.frames import FrameHead, FrameKind
from cactusridge.orders import RunOrder, SidecarReport, WorkClass
from cactusridge.sidecar.gate import AdmissionTicket
from cactusridge.sidecar.managed_upstream import ManagedUpstream
from cactusridge.sidecar.order_ledger import OrderLedger
from cactusridge.sidecar.stopwatch import Stopwatch
from cactusridge.sidecar.upstream import Answer, is_failure

HEARTBEAT = frames.encode(FrameHead(kind=FrameKind.heartbeat))
QUEUE_DEPTH = 1024


class Run:
    """Runs one order and yields the frames of the reply to the entry."""

    def __init__(
        self,
        order: RunOrder,
        body: bytes,
        upstream: ManagedUpstream,
        ledger: OrderLedger,
        report: Callable[[], SidecarReport],
    ) -> None:
        """Prepare to run ``order``, already in ``ledger``, on ``upstream``.

        The end frame carries the sidecar's ``report`` if the order wants it.
        """
        self.order = order
        self.body = body
        self._upstream = upstream
        self._ledger = ledger
        self._report = report
        self._out: Queue = Queue(QUEUE_DEPTH)
        self._started = False
        self._done = Event()

    def frames(self, heartbeat_s: float) -> Iterator[bytes]:
        """Yield encoded frames, or a heartbeat if none for ``heartbeat_s``."""
        worker = gevent.spawn(self._work)
        try:
            while not (self._done.is_set() and self._out.empty()):
                yield self._next_frames(heartbeat_s)
        except StopLimit as limit:
            worker.kill()
            limit.not_run = None if self._started else True
            yield frames.encode(refusal_frame(limit))
            yield frames.encode(end_frame(self.order.id, None))
        finally:
            # Either the reply is complete or the entry has disconnected.
            # In both cases no work on this order may continue.
            worker.kill()

    def _next_frames(self, heartbeat_s: float) -> bytes:
        try:
            parts = [self._out.get(timeout=heartbeat_s)]
        except Empty:
            return HEARTBEAT
        while not self._out.empty():
            parts.append(self._out.get_nowait())
        return b''.join(parts)

    def _work(self) -> None:
        try:
            self._run()
        except CactusridgeError as exc:
            self._refuse(exc)
        except Exception as exc:
            logs.emit(events.INTERNAL_ERROR, error=repr(exc))
            self._refuse(CactusridgeError(repr(exc)))
        report = self._report() if self.order.wants_report else None
        self._send(end_frame(self.order.id, report))
        self._done.set()

    def _run(self) -> None:
        if self.order.work == WorkClass.batch:
            self._run_batch()
            return
        ticket = self._upstream.gate.acquire(self.order)
        limit = gevent.Timeout(self.order.deadline_s, DeadlineExceeded())
        try:
            with limit:
                self._start()
                self._forward(self._call(resume=False))
        finally:
            self._upstream.gate.release(ticket)

    def _run_batch(self) -> None:
        """Run a batch order; after a preemption, wait for a slot and resume.

        An order that is preempted while the sidecar drains is refused.
        """
        ticket = self._upstream.gate.acquire(self.order)
        resume = False
        while True:
            try:
                self._start()
                parts = self._attempt(ticket, resume)
            finally:
                self._upstream.gate.release(ticket)
            if parts is not None:
                break
            resume = True
            if self._upstream.draining:
                raise self._preempted_error()
            ticket = self._upstream.gate.requeue(ticket)
        for part in parts:
            self._out.put(part)

    def _attempt(
        self, ticket: AdmissionTicket, resume: bool
    ) -> list[bytes] | None:
        """Return the frames of a response, or None if preempted.

        Raises DeadlineExceeded after ``deadline_s`` seconds.
        """
        call = gevent.spawn(self._collect, resume)
        try:
            gevent.wait(
                [call, ticket.preempt_requested],
                timeout=self.order.deadline_s,
                count=1,
            )
            if call.ready():
                return _frames_or_raise(call.get())
        finally:
            if not call.ready():
                call.kill()
        if not ticket.preempt_requested.is_set():
            self._upstream.client.cancel(self.order, keep=False)
            raise DeadlineExceeded
        self._upstream.client.cancel(self.order, keep=True)
        return None

    def _collect(self, resume: bool) -> list[bytes] | CactusridgeError:
        """Return the frames, or the error for the caller to raise."""
        try:
            answer = self._call(resume)
            whole = b''.join(answer.body)
        except CactusridgeError as exc:
            return exc
        return [self._head(answer), _body(whole)]

    def _call(self, resume: bool) -> Answer:
        watch = Stopwatch()
        try:
            answer = self._upstream.client.call(self.order, self.body, resume)
        except CactusridgeError as exc:
            self._log_failure(exc)
            raise
        return Answer(answer.head, self._timed_body(answer, watch))

    def _timed_body(self, answer: Answer, watch: Stopwatch) -> Iterator[bytes]:
        try:
            for block in answer.body:
                gap_s = watch.record_token()
                if self.order.streamed:
                    self._upstream.observe(watch, gap_s)
                yield block
        except CactusridgeError as exc:
            self._log_failure(exc)
            raise

    def _forward(self, answer: Answer) -> None:
        self._out.put(self._head(answer))
        whole = False
        try:
            for block in answer.body:
                self._out.put(_body(block))
            whole = True
        finally:
            if not whole:
                self._upstream.client.cancel(self.order, keep=False)

    def _start(self) -> None:
        if self._upstream.draining and not self._started:
            raise Draining
        if not self._started:
            self._ledger.start(self.order.id)
            self._started = True
            self._send(FrameHead(kind=FrameKind.started, id=self.order.id))

    def _preempted_error(self) -> CactusridgeError:
        exc = Overloaded('preempted by online requests while draining')
        # The order has run in part. Only repeatable orders are preempted,
        # so another replica may run it again.
        exc.not_run = None
        return exc

    def _head(self, answer: Answer) -> bytes:
        return frames.encode(
            FrameHead(
                kind=FrameKind.head,
                id=self.order.id,
                status=answer.head.status,
                headers=[list(pair) for pair in answer.head.headers],
            ),
        )

    def _send(self, head: FrameHead) -> None:
        self._out.put(frames.encode(head))

    def _refuse(self, exc: CactusridgeError) -> None:
        if self._started and exc.not_run and not is_failure(exc):
            exc.not_run = None
        self._send(refusal_frame(exc))

    def _log_failure(self, exc: CactusridgeError) -> None:
        logs.emit(
            events.UPSTREAM_FAILED,
            order=self.order.id,
            service=self.order.service,
            error=str(exc),
        )


def end_frame(order_id: str, report: SidecarReport | None) -> FrameHead:
    """Return the last frame of a reply, with the report if there is one."""
    head = FrameHead(kind=FrameKind.end, id=order_id)
    if report is not None:
        head['report'] = dict(report)
    return head


def refusal_frame(exc: CactusridgeError) -> FrameHead:
    """Return the frame that refuses an order with the error ``exc``."""
    return FrameHead(
        kind=FrameKind.refusal,
        status=exc.status,
        error=dict(exc.body()),
    )


def _body(block: bytes) -> bytes:
    return frames.encode(FrameHead(kind=FrameKind.body), block)


def _frames_or_raise(outcome: list[bytes] | CactusridgeError) -> list[bytes]:
    if isinstance(outcome, CactusridgeError):
        raise outcome
    return outcome
