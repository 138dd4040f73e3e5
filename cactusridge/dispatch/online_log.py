"""Logs each decision about an online request with its inputs."""

from typing import Any

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.dispatch.event_splitter import EventSplitter
from cactusridge.dispatch.online_call import OnlineCall, Progress
from cactusridge.dispatch.run import Run
from cactusridge.dispatch.silence_decision import SilenceDecision
from cactusridge.dispatch.upstream import UpstreamRequest
from cactusridge.dispatch.wait_too_long import WaitEstimate, WaitTooLong
from cactusridge.errors import CactusridgeError
from cactusridge.fleet.replica import Replica
from cactusridge.peers.loads import LoadTable


class OnlineLog:
    """Writes the log events of online requests."""

    def __init__(self, loads: LoadTable, clock: Clock) -> None:
        """Log the counts in ``loads`` and the times of ``clock``."""
        self._loads = loads
        self._clock = clock

    def placed(
        self,
        call: OnlineCall,
        progress: Progress,
        replica: Replica,
        req: UpstreamRequest,
    ) -> None:
        """Log the replica chosen for a request and the inputs of the choice."""
        load = self._loads.total_at(replica.incarnation)
        logs.emit(
            events.REQUEST_PLACED,
            request=req.id,
            fingerprint=req.fingerprint,
            parts=req.parts,
            route=call.route.name,
            replica=replica.id,
            version=replica.version,
            attempt=len(progress.tried),
            after_event=req.resume_after,
            resumes=req.resumes,
            online=load.online,
            batch=load.batch,
            expected_wait_s=round(progress.expected.wait_s, 3),
            speed=round(progress.expected.speed, 2),
            loads_age_s=round(self._loads.age_s(), 3),
            left_s=round(call.deadline_at - self._clock.monotonic(), 3),
        )

    def answered(self, call: OnlineCall, replica: Replica) -> None:
        """Log the start of an answer and record the time to first byte."""
        took_s = self._clock.monotonic() - call.arrived_at
        metrics.TTFT.observe({'service': replica.service}, took_s)
        logs.emit(
            events.REQUEST_ANSWERED,
            request=call.req.id,
            replica=replica.id,
            first_byte_s=round(took_s, 4),
        )

    def broken(
        self,
        call: OnlineCall,
        run: Run,
        splitter: EventSplitter,
        exc: CactusridgeError,
    ) -> None:
        """Log that a stream broke, and after which event."""
        logs.emit(
            events.STREAM_BROKEN,
            request=call.req.id,
            replica=run.replica.id,
            version=run.replica.version,
            after_event=splitter.last_id,
            ran_s=round(run.elapsed_s(), 4),
            resumable=call.route.resumable,
            caller_gone=call.caller.disconnected,
            cause=exc.code,
            error=str(exc),
        )

    def silence(
        self,
        call: OnlineCall,
        run: Run,
        decision: SilenceDecision,
    ) -> None:
        """Log whether the run of a silent replica was kept, and why."""
        logs.emit(
            events.SILENCE_DECIDED,
            request=call.req.id,
            replica=run.replica.id,
            version=run.replica.version,
            kept=decision.other is None,
            other=decision.other or '',
            reason=decision.reason,
            error=decision.error,
            after_event=decision.after_event,
            silent_s=round(decision.silent_s, 3),
            left_s=round(call.deadline_at - self._clock.monotonic(), 3),
        )

    def failure(
        self,
        call: OnlineCall,
        progress: Progress,
        exc: CactusridgeError,
    ) -> None:
        """Log the error that a caller gets instead of an answer."""
        now = self._clock.monotonic()
        estimate = {}
        if isinstance(exc, WaitTooLong):
            estimate = _rounded(exc.estimate)
        logs.emit(
            events.REQUEST_FAILED,
            request=call.req.id,
            route=call.route.name,
            cause=exc.code,
            error=str(exc),
            tried=progress.tried,
            may_have_run=progress.may_have_run,
            took_s=round(now - call.arrived_at, 4),
            left_s=round(call.deadline_at - now, 4),
            organisation=call.req.organisation,
            priority=call.route.priority,
            **estimate,
        )


def _rounded(estimate: WaitEstimate) -> dict[str, Any]:
    """Return the fields of an estimate, with times rounded to 1 ms."""
    return {
        name: round(field, 3) if isinstance(field, float) else field
        for name, field in estimate._asdict().items()
    }
