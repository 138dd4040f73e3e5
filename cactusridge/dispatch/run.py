"""Runs one request at one replica and counts it as load meanwhile."""

import contextlib

from cactusridge import metrics
from cactusridge.clock import Clock
from cactusridge.dispatch.capacity import CapacityEstimates, MeanCapacity
from cactusridge.dispatch.crash_watch import CrashWatch, InterruptedRun
from cactusridge.dispatch.upstream import (
    Exchange,
    HeaderList,
    UnknownProcess,
    Upstream,
    UpstreamHead,
    UpstreamRequest,
    UpstreamSilent,
)
from cactusridge.errors import (
    CactusridgeError,
    CrossedReply,
    OutcomeUnknown,
    Refused,
    TruncatedReply,
)
from cactusridge.fleet.incarnation_listener import IncarnationListener
from cactusridge.fleet.replica import Replica
from cactusridge.fleet.stream_origin import UNKNOWN_ORIGIN, StreamOrigin
from cactusridge.peers.load import WorkKind
from cactusridge.peers.loads import LoadTable
from cactusridge.quarantine.crash_evidence import CrashEvidence
from cactusridge.quarantine.strike import Stage
from cactusridge.routing.outliers import OutlierDetector

# Errors raised when a connection ended before the answer was complete.
BROKEN_CONNECTION_ERRORS = (OutcomeUnknown, TruncatedReply)
# Seconds without an event after which a disconnect of the caller is taken
# as a sign that the replica is unresponsive: callers that wait so long
# usually leave for that reason.
STUCK_AFTER_S = 1.0
# Seconds between two records of the output of a run.
OUTPUT_INTERVAL_S = 0.25
SERVER_ERROR = 500
# A replica answers with this status when the request's deadline has passed.
GATEWAY_TIMEOUT = 504
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300


def is_success(status: int) -> bool:
    """Return whether ``status`` is in the range 200 to 299."""
    return FIRST_SUCCESS <= status < FIRST_REDIRECT


class NotRun(Refused):
    """The replica reported that it did not run the request."""

    code = 'not_run'


class Run:
    """A request in flight at a replica; ``close`` cancels it if unfinished."""

    def __init__(
        self,
        replica: Replica,
        kind: WorkKind,
        exchange: Exchange,
        runner: 'Runner',
        req: UpstreamRequest,
        stack: contextlib.ExitStack,
    ) -> None:
        """Read from ``exchange``; ``close`` unwinds ``stack``."""
        self.replica = replica
        self._kind = kind
        self.exchange = exchange
        self._runner = runner
        self._stack = stack
        self._fingerprint = req.fingerprint
        self._parts = req.parts
        self._has_head = False
        self._succeeded = False
        self._output_recorded_at = float('-inf')
        self._opened_at = runner.clock.monotonic()
        self._stage = Stage.started
        self._aborted = False
        self._closed = False
        self._survived = False
        self._received_at = self._opened_at

    def origin(self) -> StreamOrigin:
        """Return the origin of the output, UNKNOWN_ORIGIN if it is unknown.

        It is known while the process that runs the request is known to be the
        one that the list names. Where that states no version it does not
        matter.
        """
        is_known = not self.replica.version or self.exchange.is_listed_process()
        return self.replica.origin if is_known else UNKNOWN_ORIGIN

    def elapsed_s(self) -> float:
        """Return the seconds since the request was sent."""
        return self._runner.clock.monotonic() - self._opened_at

    def head(self, wait_s: float, final: bool = True) -> UpstreamHead:
        """Wait up to ``wait_s`` seconds for the head; check and return it.

        If ``final``, a run that is silent for so long is abandoned. Raises
        NotRun if the replica did not run the request, CrossedReply if a success
        is not signed, and what ``Exchange.head`` raises.
        """
        try:
            head = self.exchange.head(wait_s)
        except UpstreamSilent:
            self._check_silent(final)
            raise
        except CactusridgeError as exc:
            self._check_broken(exc)
            raise
        if head.misdirected or head.not_run:
            if head.misdirected:
                self.record_failure()
            raise NotRun(f'{self.replica.id} answered {head.status}')
        if is_success(head.status) and not head.signed:
            self.record_failure()
            raise CrossedReply(f'{self.replica.id} did not sign its answer')
        self._stage = Stage.started
        self._has_head = True
        self._succeeded = is_success(head.status)
        self._received_at = self._runner.clock.monotonic()
        if head.signed:
            incarnation = self.replica.incarnation
            self._runner.suspects.answered(incarnation, self._opened_at)
            if not is_success(head.status):
                self.record_completion()
        self._record_status(head.status)
        return head

    def read(self, wait_s: float, final: bool = True) -> bytes:
        """Return the next bytes of the body; see ``Exchange.read``.

        If ``final``, a run that is silent for so long is abandoned.
        """
        try:
            received = self.exchange.read(wait_s)
        except UpstreamSilent:
            self._check_silent(final)
            raise
        except CactusridgeError as exc:
            self._check_broken(exc)
            raise
        self._received_at = self._runner.clock.monotonic()
        return received

    def record_output(self) -> None:
        """Record that part of the output has been received."""
        self._stage = Stage.answering
        now = self._runner.clock.monotonic()
        if now - self._output_recorded_at >= OUTPUT_INTERVAL_S:
            self._output_recorded_at = now
            self._runner.suspects.record_output(self._parts)

    def record_completion(self) -> None:
        """Record a completed run, which withdraws the request's strikes.

        Only a success withdraws those of the parts of its prompt: a failure
        answer may come before the replica has processed them.
        """
        self._survived = True
        self._runner.suspects.record_completion(self._fingerprint)
        if self._succeeded:
            self._runner.suspects.record_output(self._parts)

    def abort(self) -> None:
        """Cancel the request, from a greenlet other than the waiting one.

        A closed run is left alone: another request may use its connection.
        """
        if self._closed:
            return
        self._aborted = True
        if not self._survived and self._is_unresponsive():
            self.check_abandoned()
        self.exchange.abort()

    def record_failure(self) -> None:
        """Record a failure of the replica that no request can have caused."""
        self._runner.health.failed(self.replica.incarnation, certain=True)

    def check_abandoned(self) -> None:
        """Schedule a check whether the replica of an abandoned run crashed."""
        if self._may_be_cause():
            self._runner.crashes.run_abandoned(
                self.replica, self._interrupted()
            )

    def close(self) -> None:
        """Stop counting the request as load; cancel it if it is unfinished."""
        self._closed = True
        self._stack.close()

    def _check_silent(self, final: bool) -> None:
        if final:
            self.check_abandoned()

    def _check_broken(self, exc: CactusridgeError) -> None:
        """Record a broken answer and check whether the replica crashed."""
        self.record_failure()
        if self._aborted or not isinstance(exc, BROKEN_CONNECTION_ERRORS):
            return
        if not self._may_be_cause():
            return
        self._runner.crashes.connection_broken(
            self.replica, self._interrupted()
        )

    def _may_be_cause(self) -> bool:
        """Return whether a crash of the replica may count against the request.

        No batch item crashes the replicas that run it. Under one, a crash is
        evidence neither against the item nor against the parts of its prompt.
        """
        return self._kind != WorkKind.batch

    def _interrupted(self) -> InterruptedRun:
        return InterruptedRun(
            self._fingerprint,
            self._stage,
            () if self._stage == Stage.answering else self._parts,
            Stage.started if self._has_head else Stage.queued,
            self._received_at,
        )

    def _is_unresponsive(self) -> bool:
        """Return whether no output has arrived, or none for STUCK_AFTER_S."""
        if self._stage != Stage.answering:
            return True
        silent_s = self._runner.clock.monotonic() - self._received_at
        return silent_s >= STUCK_AFTER_S

    def _record_status(self, status: int) -> None:
        """Record a status as a success or a failure of the replica.

        Timeouts of requests with little time left, and server errors of
        batch items that fail at every replica, are not counted. They
        would eject healthy replicas.
        """
        if status < SERVER_ERROR:
            self._runner.health.succeeded(self.replica.incarnation, 0)
        elif status != GATEWAY_TIMEOUT and self._kind == WorkKind.online:
            self._runner.health.failed(self.replica.incarnation)


class Runner(IncarnationListener):
    """Opens runs and collects what they reveal about replicas."""

    def __init__(
        self,
        upstream: Upstream,
        loads: LoadTable,
        health: OutlierDetector,
        suspects: CrashEvidence,
        clock: Clock,
        capacity: CapacityEstimates | None = None,
    ) -> None:
        """Send requests through ``upstream`` and count them in ``loads``."""
        self.suspects = suspects
        self.crashes = CrashWatch(upstream, suspects, clock)
        self.loads = loads
        self.health = health
        self.clock = clock
        self.capacity = capacity or MeanCapacity()
        self._upstream = upstream

    def incarnation_ended(self, incarnation: str) -> None:
        """Drop the health, speed and peers' counts of an ended incarnation."""
        self.health.forget(incarnation)
        self.loads.forget_incarnation(incarnation)
        self.capacity.forget(incarnation)

    def shared_parts(self, headers: HeaderList) -> tuple[str, ...]:
        """Return the parts of a prompt; see ``Upstream.shared_parts``."""
        return self._upstream.shared_parts(headers)

    def open(
        self,
        replica: Replica,
        req: UpstreamRequest,
        kind: WorkKind,
        left_s: float,
        new_connection: bool = False,
    ) -> Run:
        """Send ``req`` to ``replica``; see ``Upstream.send``.

        The run counts as load of the kind ``kind`` until it is closed.
        """
        with contextlib.ExitStack() as stack:
            stack.enter_context(
                self.loads.count_request(replica.incarnation, kind)
            )
            self.suspects.record_sent(req.id, req.parts)
            try:
                exchange = self._upstream.send(
                    replica, req, left_s, new_connection
                )
            except UnknownProcess:
                # Whichever process is there has not failed.
                raise
            except CactusridgeError:
                self.health.failed(replica.incarnation, certain=True)
                raise
            metrics.ATTEMPTS.inc({'service': replica.service})
            stack.callback(exchange.close)
            return Run(
                replica,
                kind,
                exchange,
                self,
                req,
                stack.pop_all(),
            )
        raise AssertionError('unreachable')
