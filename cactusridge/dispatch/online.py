"""Answers online requests: choice, refusal, retries, resumption."""

import random
from collections.abc import Iterator

from cactusridge import metrics
from cactusridge.clock import Clock
from cactusridge.dispatch.catalog import Route, RouteKind
from cactusridge.dispatch.event_splitter import EventSplitter
from cactusridge.dispatch.fleet_view import FleetView
from cactusridge.dispatch.loads import WorkKind
from cactusridge.dispatch.online_call import Answer, OnlineCall, Progress
from cactusridge.dispatch.online_log import OnlineLog
from cactusridge.dispatch.placement import (
    QUEUE_SHARE,
    Choice,
    choose,
    consider,
    expected_wait_s,
    retry_after_s,
    silence_s,
)
from cactusridge.dispatch.replica import Replica
from cactusridge.dispatch.run import (
    SERVER_FAULT,
    NotRun,
    Run,
    Runner,
    is_success,
)
from cactusridge.dispatch.upstream import (
    ConnectFailed,
    UpstreamHead,
    UpstreamRequest,
    UpstreamSilent,
)
from cactusridge.errors import (
    CactusridgeError,
    CallerGone,
    DeadlineExceeded,
    NoReplica,
    OutcomeUnknown,
    Overloaded,
    TruncatedReply,
    UpstreamFailed,
)

# Replicas that may turn a request away before its caller is told: one
# more than a replica just full and another that has just left.
MAX_TURNED_AWAY = 4
# A wait for a replica to appear, in seconds; a caller that comes back
# then finds the list of replicas read once more.
NO_REPLICA_RETRY_S = 0.3
# Of a stream that has begun: many times its longest usual pause between
# events, under the two seconds after which callers give it up.
STREAM_SILENCE_S = 1.2


class OnlineDispatcher:
    """Sends each call to a replica, and to another where that is safe."""

    def __init__(
        self,
        fleet: FleetView,
        runner: Runner,
        zone: str,
        clock: Clock,
    ) -> None:
        """Choose among ``fleet`` as seen from ``zone``."""
        self._fleet = fleet
        self._runner = runner
        self._zone = zone
        self._clock = clock
        self._log = OnlineLog(runner.loads, clock)
        self._rng = random.Random()  # noqa: S311

    def answer(self, call: OnlineCall) -> Answer:
        """Return the answer; raise what the caller is to be told instead."""
        progress = Progress()
        try:
            return self._answer(call, progress)
        except CactusridgeError as exc:
            exc.not_run = progress.may_have_run == 0
            self._log.failure(call, progress, exc)
            raise

    def _answer(self, call: OnlineCall, progress: Progress) -> Answer:
        while True:
            self._check_time(call, progress)
            replica = self._choose(call, progress)
            try:
                return self._try(call, replica, progress)
            except CactusridgeError as exc:
                self._check_retry(call, progress, exc)
                metrics.RETRIES.inc({'service': replica.service})

    def _try(
        self,
        call: OnlineCall,
        replica: Replica,
        progress: Progress,
    ) -> Answer:
        run = self._open(call, replica, progress, call.req)
        try:
            return self._answer_of(call, run, progress)
        except BaseException:
            run.close()
            raise

    def _answer_of(
        self,
        call: OnlineCall,
        run: Run,
        progress: Progress,
    ) -> Answer:
        head = self._head(call, run, progress)
        if self._wants_another(call, head, progress):
            raise UpstreamFailed(f'{run.replica.id} answered {head.status}')
        self._log.answered(call, run.replica)
        if call.route.kind == RouteKind.stream and is_success(head.status):
            body = self._stream(call, run, progress)
            return Answer(head.status, head.headers, body)
        begun_at = call.arrived_at
        whole = self._whole(call, run)
        self._note_hold(run.replica, begun_at)
        run.close()
        return Answer(head.status, head.headers, [whole])

    def _open(
        self,
        call: OnlineCall,
        replica: Replica,
        progress: Progress,
        req: UpstreamRequest,
    ) -> Run:
        progress.tried.append(replica.id)
        left_s = call.deadline_at - self._clock.monotonic()
        try:
            run = self._runner.open(
                replica,
                req,
                WorkKind.online,
                left_s,
                # Whatever silenced one kept connection may have silenced
                # those to other replicas; this is the last attempt.
                fresh=progress.may_have_run > 0,
            )
        except OutcomeUnknown:
            progress.may_have_run += 1
            raise
        call.caller.call_when_gone(run.exchange.abort)
        self._log.placed(call, progress, replica, req)
        return run

    def _head(
        self,
        call: OnlineCall,
        run: Run,
        progress: Progress,
    ) -> UpstreamHead:
        """Return the head; until it is known not to have run, it may have."""
        progress.may_have_run += 1
        limit_s = None
        if self._may_go_again(call, progress):
            limit_s = silence_s(
                self._runner.loads.at(run.replica.id),
                run.replica.slots,
                call.route.aim_s,
            )
        try:
            return run.head(self._wait_s(call, limit_s))
        except NotRun:
            progress.may_have_run -= 1
            raise
        except UpstreamSilent:
            # At the deadline it may just be long work; only a wait that
            # was cut short to go elsewhere speaks against the replica.
            if limit_s is not None:
                run.failed()
            raise

    def _whole(self, call: OnlineCall, run: Run) -> bytes:
        """Return the whole body, so that a broken one is passed to nobody."""
        parts = []
        while True:
            part = run.read(self._wait_s(call, None))
            if not part:
                return b''.join(parts)
            parts.append(part)

    def _stream(
        self,
        call: OnlineCall,
        run: Run,
        progress: Progress,
    ) -> Iterator[bytes]:
        """Yield whole events; go on elsewhere where that is allowed."""
        splitter = EventSplitter(call.req.resume_after)
        failure: CactusridgeError | None = None
        while True:
            if failure is not None:
                run = self._resume(call, progress, splitter, failure)
            begun_at = self._clock.monotonic()
            try:
                yield from self._events(call, run, splitter, progress)
            except CactusridgeError as exc:
                failure = exc
                self._log.broken(call, run, splitter, exc)
            else:
                self._note_hold(run.replica, begun_at)
                return
            finally:
                run.close()

    def _note_hold(self, replica: Replica, begun_at: float) -> None:
        held_s = self._clock.monotonic() - begun_at
        self._runner.hold(replica.service).ended(held_s)

    def _events(
        self,
        call: OnlineCall,
        run: Run,
        splitter: EventSplitter,
        progress: Progress,
    ) -> Iterator[bytes]:
        limit_s = None
        if self._may_go_again(call, progress):
            limit_s = STREAM_SILENCE_S
        received = run.read(self._wait_s(call, limit_s))
        while received:
            whole = b''.join(event.raw for event in splitter.feed(received))
            if whole:
                yield whole
            received = run.read(self._wait_s(call, limit_s))
        if splitter.pending:
            run.failed()
            raise TruncatedReply('the stream ended within an event')

    def _resume(
        self,
        call: OnlineCall,
        progress: Progress,
        splitter: EventSplitter,
        exc: CactusridgeError,
    ) -> Run:
        """Return a run that goes on after the last whole event."""
        splitter.restart()
        req = call.req._replace(resume_after=splitter.last_id)
        while True:
            self._check_retry(call, progress, exc)
            self._check_time(call, progress)
            try:
                return self._run_on(call, req, progress)
            except CactusridgeError as failure:
                exc = failure

    def _run_on(
        self,
        call: OnlineCall,
        req: UpstreamRequest,
        progress: Progress,
    ) -> Run:
        """Return a run whose answer has begun well."""
        replica = self._choose(call, progress)
        run = self._open(call, replica, progress, req)
        try:
            head = self._head(call, run, progress)
        except BaseException:
            run.close()
            raise
        if not is_success(head.status):
            run.close()
            raise UpstreamFailed(f'{replica.id} answered {head.status}')
        return run

    def _wants_another(
        self,
        call: OnlineCall,
        head: UpstreamHead,
        progress: Progress,
    ) -> bool:
        failed = head.status >= SERVER_FAULT
        return failed and self._may_go_again(call, progress)

    def _may_go_again(self, call: OnlineCall, progress: Progress) -> bool:
        """Tell whether a request that may have run may be sent again."""
        if not call.route.repeatable:
            return False
        return progress.may_have_run < call.route.attempts

    def _check_retry(
        self,
        call: OnlineCall,
        progress: Progress,
        exc: CactusridgeError,
    ) -> None:
        """Return if the call may go to another replica, else raise."""
        if call.caller.gone:
            raise CallerGone from exc
        if isinstance(exc, NotRun | ConnectFailed):
            progress.turned_away += 1
            if progress.turned_away >= MAX_TURNED_AWAY:
                raise Overloaded(retry_after_s=NO_REPLICA_RETRY_S) from exc
            return
        if isinstance(exc, Overloaded | NoReplica | DeadlineExceeded):
            raise exc
        if not self._may_go_again(call, progress):
            raise exc

    def _check_time(self, call: OnlineCall, progress: Progress) -> None:
        if call.caller.gone:
            raise CallerGone
        if self._clock.monotonic() < call.deadline_at:
            return
        if progress.may_have_run:
            raise DeadlineExceeded
        raise Overloaded('no replica took it in time')

    def _wait_s(self, call: OnlineCall, limit_s: float | None) -> float:
        """Return how long to wait for bytes; raise when time is up."""
        left_s = call.deadline_at - self._clock.monotonic()
        if left_s <= 0:
            raise DeadlineExceeded
        return left_s if limit_s is None else min(left_s, limit_s)

    def _choose(self, call: OnlineCall, progress: Progress) -> Replica:
        service = self._service(call.route)
        ready = {replica.id: replica for replica in self._fleet.ready(service)}
        fresh = set(ready) - set(progress.tried) or set(ready)
        if not fresh:
            raise NoReplica(
                f'no replica of {service}',
                retry_after_s=NO_REPLICA_RETRY_S,
            )
        allowed = self._runner.health.allowed(ready) & fresh
        loads = self._runner.loads
        choices = [
            Choice(ready[key], loads.at(key)) for key in allowed or fresh
        ]
        few = consider(choices, loads.fresh, self._rng)
        best = choose(few, self._zone, self._rng)
        wait_s = expected_wait_s(best, self._runner.hold(service).mean_s)
        if wait_s > QUEUE_SHARE * call.route.aim_s:
            raise Overloaded(
                f'{wait_s:.3f} s to wait',
                retry_after_s=retry_after_s(wait_s, call.route.aim_s),
            )
        return best.replica

    def _service(self, route: Route) -> str:
        """Return a service of the route, by the weights of its split."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._rng.choices(route.shares, weights)[0].service
