"""Relays event streams and resumes broken ones at another replica."""

from collections.abc import Iterator

from cactusridge.clock import Clock
from cactusridge.dispatch.attempts import Attempts
from cactusridge.dispatch.awaited import AwaitedHead
from cactusridge.dispatch.event_floods import EventFloods
from cactusridge.dispatch.event_splitter import EventSplitter, EventTooLong
from cactusridge.dispatch.hedged_stream import HedgedStream
from cactusridge.dispatch.hedging import Hedging
from cactusridge.dispatch.online_call import OnlineCall, Progress
from cactusridge.dispatch.online_log import OnlineLog
from cactusridge.dispatch.resumption import Resumption
from cactusridge.dispatch.retries import check_retry
from cactusridge.dispatch.run import Run
from cactusridge.dispatch.run_recorder import RunRecorder
from cactusridge.dispatch.upstream import UpstreamRequest
from cactusridge.errors import CactusridgeError, TruncatedReply
from cactusridge.fleet.stream_origin import UNKNOWN_ORIGIN


class Streams:
    """Relays streams from replicas to callers."""

    def __init__(
        self,
        attempts: Attempts,
        clock: Clock,
        log: OnlineLog,
        recorder: RunRecorder,
        resumption: Resumption,
    ) -> None:
        """Resume broken streams by new attempts made with ``attempts``."""
        self._recorder = recorder
        self._resumption = resumption
        self._attempts = attempts
        self._clock = clock
        self._log = log
        self._hedging = Hedging(attempts, clock, log)
        self._floods = EventFloods()

    def relay(
        self,
        call: OnlineCall,
        run: Run,
        progress: Progress,
    ) -> Iterator[bytes]:
        """Yield complete events to the caller.

        A stream that breaks is resumed at another replica if the route
        allows it; otherwise the error is raised.
        """
        splitter = EventSplitter(call.req.resume_after)
        stream = HedgedStream(
            self._hedging, self._clock, call, progress, splitter
        )
        failure: CactusridgeError | None = None
        while True:
            if failure is not None:
                run = self._resume(call, progress, splitter, failure)
            stream.start(run)
            try:
                yield from self._events(call, stream, splitter, progress)
            except CactusridgeError as exc:
                failure = exc
                self._log.broken(call, stream.run, splitter, exc)
            else:
                stream.run.record_completion()
                self._recorder.stream(call, stream.run, progress, stream.output)
                return
            finally:
                stream.run.close()

    def _events(
        self,
        call: OnlineCall,
        stream: HedgedStream,
        splitter: EventSplitter,
        progress: Progress,
    ) -> Iterator[bytes]:
        recorded: Run | None = None
        while events := self._read_events(stream, splitter):
            if recorded is not stream.run:
                progress.origin = self._resumption.record_begin(
                    call, stream.run, progress.origin
                )
                if progress.origin != UNKNOWN_ORIGIN:
                    recorded = stream.run
            yield events
            stream.output.record_taken()
        if splitter.pending:
            stream.run.record_failure()
            raise TruncatedReply('the stream ended within an event')

    def _read_events(
        self, stream: HedgedStream, splitter: EventSplitter
    ) -> bytes:
        """Return the next complete events, none at the end of the run.

        No other copy of them stays in memory while the caller, which may not
        read, takes them.
        """
        while received := stream.read():
            try:
                found = splitter.feed(received)
            except EventTooLong:
                stream.run.record_failure()
                raise
            if found:
                self._floods.pause(len(found))
                stream.run.record_output()
                stream.output.record_events(len(found))
                return b''.join(event.raw for event in found)
        return b''

    def _resume(
        self,
        call: OnlineCall,
        progress: Progress,
        splitter: EventSplitter,
        exc: CactusridgeError,
    ) -> Run:
        """Return a run that resumes after the last complete event.

        Errors raised here have ``not_run`` set to False, even a refusal
        by the last replica, because part of the request has already run.
        """
        try:
            return self._run_at_another(call, progress, splitter, exc)
        except CactusridgeError as failure:
            failure.not_run = False
            self._log.failure(call, progress, failure)
            raise

    def _run_at_another(
        self,
        call: OnlineCall,
        progress: Progress,
        splitter: EventSplitter,
        exc: CactusridgeError,
    ) -> Run:
        splitter.discard_partial()
        req = call.req._replace(resume_after=splitter.last_id)
        while True:
            check_retry(call, progress, exc)
            self._attempts.check(call, progress)
            try:
                return self._run_at_replica(call, req, progress)
            except CactusridgeError as failure:
                exc = failure

    def _run_at_replica(
        self,
        call: OnlineCall,
        req: UpstreamRequest,
        progress: Progress,
    ) -> Run:
        """Return a run at a newly chosen replica, after its head.

        Raises UpstreamFailed if the status is not a success.
        """
        replica = self._attempts.choose(call, progress)
        run = self._attempts.open(call, replica, progress, req)
        return self._hedging.success(
            AwaitedHead(call, run, progress, req, begun=True)
        )
