"""Answers online requests, with retries at other replicas."""

from cactusridge import metrics
from cactusridge.clock import Clock
from cactusridge.dispatch.attempts import Attempts
from cactusridge.dispatch.awaited import AwaitedHead
from cactusridge.dispatch.body_buffers import BodyBuffers, BodyTooLong
from cactusridge.dispatch.catalog import RouteKind
from cactusridge.dispatch.hedging import Hedging
from cactusridge.dispatch.online_call import Answer, OnlineCall, Progress
from cactusridge.dispatch.online_log import OnlineLog
from cactusridge.dispatch.policies import DispatchPolicies
from cactusridge.dispatch.queueing import NoQueueing, Queueing
from cactusridge.dispatch.resumption import Resumption
from cactusridge.dispatch.retries import check_retry, may_retry
from cactusridge.dispatch.run import SERVER_ERROR, Run, Runner, is_success
from cactusridge.dispatch.run_recorder import RunRecorder
from cactusridge.dispatch.streams import Streams
from cactusridge.dispatch.upstream import UpstreamHead
from cactusridge.dispatch.wait_too_long import WaitTooLong
from cactusridge.errors import CactusridgeError, UpstreamFailed
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.peers.cells import Cells
from cactusridge.stream_origins.origin_records import OriginRecords


class OnlineDispatcher:
    """Sends each call to a replica and retries at another if that is safe."""

    def __init__(
        self,
        fleet: FleetView,
        cells: Cells,
        runner: Runner,
        zone: str,
        clock: Clock,
        policies: DispatchPolicies,
        origins: OriginRecords,
    ) -> None:
        """Choose replicas from ``fleet`` for an entry in ``zone``.

        ``origins`` remember at which versions streams began.
        """
        self._log = OnlineLog(runner.loads, clock)
        self._attempts = Attempts(
            fleet,
            cells,
            runner,
            zone,
            clock,
            self._log,
            policies,
        )
        self._hedging = Hedging(self._attempts, clock, self._log)
        self._recorder = RunRecorder(runner.capacity, clock)
        self._resumption = Resumption(fleet, origins)
        self._streams = Streams(
            self._attempts, clock, self._log, self._recorder, self._resumption
        )
        self._buffers = BodyBuffers()
        self._queueing: Queueing = NoQueueing()

    def queue_with(self, queueing: Queueing) -> None:
        """Let ``queueing`` decide about requests that cannot start now."""
        self._queueing = queueing

    def has_free_slot(self, service: str) -> bool:
        """Return whether a waiting request of ``service`` may start."""
        return self._attempts.has_free_slot(service)

    def answer(self, call: OnlineCall) -> Answer:
        """Return the answer to a call.

        Raises the CactusridgeError to be sent to the caller if there is
        no answer. Its ``not_run`` is True only if the request cannot have
        run, and the count against the organisation's limit is then undone.
        """
        progress = Progress()
        try:
            return self._answer(call, progress)
        except CactusridgeError as exc:
            exc.not_run = progress.may_have_run == 0
            if exc.not_run:
                call.permit.undo_count()
            self._log.failure(call, progress, exc)
            raise

    def _answer(self, call: OnlineCall, progress: Progress) -> Answer:
        progress.origin = self._resumption.origin_of(call)
        while True:
            replica = self._choose(call, progress)
            try:
                return self._try(call, replica, progress)
            except CactusridgeError as exc:
                check_retry(call, progress, exc)
                metrics.RETRIES.inc({'service': replica.service})

    def _choose(self, call: OnlineCall, progress: Progress) -> Replica:
        """Return the replica for the next attempt.

        A request that has not been sent to any replica may wait for one.
        """
        while True:
            self._attempts.check(call, progress)
            call.permit.count()
            try:
                return self._attempts.choose(call, progress)
            except WaitTooLong as refusal:
                if progress.tried:
                    raise
                self._queueing.wait(call, refusal)
                progress.service = refusal.service

    def _try(
        self,
        call: OnlineCall,
        replica: Replica,
        progress: Progress,
    ) -> Answer:
        run = self._attempts.open(call, replica, progress, call.req)
        run, head = self._hedging.head(
            AwaitedHead(call, run, progress, call.req)
        )
        try:
            return self._read_answer(call, run, head, progress)
        except BaseException:
            run.close()
            raise

    def _read_answer(
        self,
        call: OnlineCall,
        run: Run,
        head: UpstreamHead,
        progress: Progress,
    ) -> Answer:
        if self._should_retry(call, head, progress):
            raise UpstreamFailed(f'{run.replica.id} answered {head.status}')
        self._log.answered(call, run.replica)
        if call.route.kind == RouteKind.streaming and is_success(head.status):
            body = self._streams.relay(call, run, progress)
            return Answer(head.status, head.headers, body)
        whole = self._read_body(call, run)
        run.record_completion()
        self._recorder.plain(call, run, progress, head.status)
        run.close()
        return Answer(head.status, head.headers, [whole])

    def _read_body(self, call: OnlineCall, run: Run) -> bytes:
        """Return the complete body.

        No part of it is sent before it is complete, so that the caller
        never receives a truncated body.
        """
        with self._buffers.open() as body:
            while part := run.read(self._attempts.wait_s(call, None)):
                try:
                    body.add(part)
                except BodyTooLong:
                    run.record_failure()
                    raise
            return body.whole()

    def _should_retry(
        self,
        call: OnlineCall,
        head: UpstreamHead,
        progress: Progress,
    ) -> bool:
        failed = head.status >= SERVER_ERROR
        return failed and may_retry(call, progress)
