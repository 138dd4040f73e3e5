"""Answers online requests, over as many attempts as are allowed."""

from cactusridge import metrics
from cactusridge.clock import Clock
from cactusridge.dispatch.attempts import Attempts
from cactusridge.dispatch.catalog import RouteKind
from cactusridge.dispatch.online_call import Answer, OnlineCall, Progress
from cactusridge.dispatch.online_log import OnlineLog
from cactusridge.dispatch.policies import DispatchPolicies
from cactusridge.dispatch.retries import check_retry, may_go_again
from cactusridge.dispatch.run import SERVER_FAULT, Run, Runner, is_success
from cactusridge.dispatch.streams import Streams
from cactusridge.dispatch.upstream import UpstreamHead
from cactusridge.errors import CactusridgeError, UpstreamFailed
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.peers.cells import Cells


class OnlineDispatcher:
    """Sends each call to a replica, and to another where that is safe."""

    def __init__(
        self,
        fleet: FleetView,
        cells: Cells,
        runner: Runner,
        zone: str,
        clock: Clock,
        policies: DispatchPolicies,
    ) -> None:
        """Choose among ``fleet`` as seen from ``zone``."""
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
        self._streams = Streams(self._attempts, clock, self._log)

    def answer(self, call: OnlineCall) -> Answer:
        """Return the answer; raise what the caller is to be told instead."""
        progress = Progress()
        try:
            return self._answer(call, progress)
        except CactusridgeError as exc:
            exc.not_run = progress.may_have_run == 0
            if exc.not_run:
                call.permit.give_back()
            self._log.failure(call, progress, exc)
            raise

    def _answer(self, call: OnlineCall, progress: Progress) -> Answer:
        while True:
            self._attempts.check(call, progress)
            call.permit.count()
            replica = self._attempts.choose(call, progress)
            try:
                return self._try(call, replica, progress)
            except CactusridgeError as exc:
                check_retry(call, progress, exc)
                metrics.RETRIES.inc({'service': replica.service})

    def _try(
        self,
        call: OnlineCall,
        replica: Replica,
        progress: Progress,
    ) -> Answer:
        run = self._attempts.open(call, replica, progress, call.req)
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
        head = self._attempts.head(call, run, progress)
        if self._wants_another(call, head, progress):
            raise UpstreamFailed(f'{run.replica.id} answered {head.status}')
        self._log.answered(call, run.replica)
        if call.route.kind == RouteKind.stream and is_success(head.status):
            body = self._streams.passed_on(call, run, progress)
            return Answer(head.status, head.headers, body)
        begun_at = call.arrived_at
        whole = self._whole(call, run)
        run.survived()
        self._attempts.note_hold(run.replica, begun_at)
        run.close()
        return Answer(head.status, head.headers, [whole])

    def _whole(self, call: OnlineCall, run: Run) -> bytes:
        """Return the whole body, so that a broken one is passed to nobody."""
        parts = []
        while True:
            part = run.read(self._attempts.wait_s(call, None))
            if not part:
                return b''.join(parts)
            parts.append(part)

    def _wants_another(
        self,
        call: OnlineCall,
        head: UpstreamHead,
        progress: Progress,
    ) -> bool:
        failed = head.status >= SERVER_FAULT
        return failed and may_go_again(call, progress)
