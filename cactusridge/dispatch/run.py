"""One request at one replica, counted as load while it lasts."""

import contextlib

from cactusridge import metrics
from cactusridge.clock import Clock
from cactusridge.dispatch.crash_watch import BrokenRun, CrashWatch
from cactusridge.dispatch.placement import HoldTime
from cactusridge.dispatch.upstream import (
    Exchange,
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
from cactusridge.fleet.life_listener import LifeListener
from cactusridge.fleet.replica import Replica
from cactusridge.peers.load import WorkKind
from cactusridge.peers.loads import LoadTable
from cactusridge.quarantine.strike import Stage
from cactusridge.quarantine.suspects import Suspects
from cactusridge.routing.outliers import OutlierDetector

# The connection ended before the answer did.
BROKE_OFF = (OutcomeUnknown, TruncatedReply)
# A caller that leaves a stream after this many seconds without an event
# mostly leaves for that.
STUCK_S = 1.0
SERVER_FAULT = 500
# A replica answers so when the time handed on is over.
TIME_OVER = 504
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300


def is_success(status: int) -> bool:
    """Tell whether ``status`` says that the request was served."""
    return FIRST_SUCCESS <= status < FIRST_REDIRECT


class NotRun(Refused):
    """The replica said that it did not run the request."""

    code = 'not_run'


class Run:
    """A request under way; ``close`` ends it wherever it is."""

    def __init__(
        self,
        replica: Replica,
        kind: WorkKind,
        exchange: Exchange,
        runner: 'Runner',
        fingerprint: str,
        stack: contextlib.ExitStack,
    ) -> None:
        """Read from ``exchange``; ``stack`` is what closing undoes."""
        self.replica = replica
        self._kind = kind
        self.exchange = exchange
        self._runner = runner
        self._stack = stack
        self._fingerprint = fingerprint
        self._opened_at = runner.clock.monotonic()
        self._stage = Stage.begun
        if kind == WorkKind.batch:
            # An item's head comes when it begins.
            self._stage = Stage.queued
        self._aborted = False
        self._survived = False
        self._heard_at = self._opened_at

    def lasted_s(self) -> float:
        """Return the seconds since the request was sent."""
        return self._runner.clock.monotonic() - self._opened_at

    def head(self, wait_s: float) -> UpstreamHead:
        """Return a head that is this request's; raise NotRun and others."""
        try:
            head = self.exchange.head(wait_s)
        except UpstreamSilent:
            self._note_silence()
            raise
        except CactusridgeError as exc:
            self._note_break(exc)
            raise
        if head.wrong_one or head.not_run:
            if head.wrong_one:
                self.failed()
            raise NotRun(f'{self.replica.id} answered {head.status}')
        if is_success(head.status) and not head.genuine:
            self.failed()
            raise CrossedReply(f'{self.replica.id} did not sign its answer')
        self._stage = Stage.begun
        self._heard_at = self._runner.clock.monotonic()
        if head.genuine:
            life = self.replica.life
            self._runner.suspects.answered(life, self._opened_at)
            if not is_success(head.status):
                self.survived()
        self._judge(head.status)
        return head

    def read(self, wait_s: float) -> bytes:
        """Return the next bytes of the answer, nothing at its end."""
        try:
            received = self.exchange.read(wait_s)
        except UpstreamSilent:
            self._note_silence()
            raise
        except CactusridgeError as exc:
            self._note_break(exc)
            raise
        self._heard_at = self._runner.clock.monotonic()
        return received

    def note_output(self) -> None:
        """Note that some of the output has come."""
        self._stage = Stage.answering

    def survived(self) -> None:
        """Note that the replica has run the request to its end."""
        self._survived = True
        self._runner.suspects.survived(self._fingerprint)

    def abort(self) -> None:
        """End a wait of another greenlet; the replica stops."""
        self._aborted = True
        if not self._survived and self._is_stuck():
            self._note_silence()
        self.exchange.abort()

    def failed(self) -> None:
        """Note that the replica failed, whatever was asked of it."""
        self._runner.health.failed(self.replica.life, certain=True)

    def close(self) -> None:
        """End the request; its replica stops if it is still at work."""
        self._stack.close()

    def _note_break(self, exc: CactusridgeError) -> None:
        """Note that an answer broke, and whether the replica may be gone."""
        self.failed()
        if self._aborted or not isinstance(exc, BROKE_OFF):
            return
        broken = BrokenRun(self._fingerprint, self._stage)
        self._runner.crashes.broke_off(self.replica, broken)

    def _is_stuck(self) -> bool:
        """Tell whether nothing of the output has come, or nothing lately."""
        if self._stage != Stage.answering:
            return True
        silent_s = self._runner.clock.monotonic() - self._heard_at
        return silent_s >= STUCK_S

    def _note_silence(self) -> None:
        """Note that the run is given up, and ask whether its replica lives."""
        broken = BrokenRun(self._fingerprint, self._stage)
        self._runner.crashes.given_up(self.replica, broken)

    def _judge(self, status: int) -> None:
        """Note what a status says of the replica.

        Requests with little time left, and batch items that fail
        wherever they run, would take good replicas out of choice.
        """
        if status < SERVER_FAULT:
            self._runner.health.succeeded(self.replica.life, 0)
        elif status != TIME_OVER and self._kind == WorkKind.online:
            self._runner.health.failed(self.replica.life)


class Runner(LifeListener):
    """Opens runs and keeps what they teach of replicas and services."""

    def __init__(
        self,
        upstream: Upstream,
        loads: LoadTable,
        health: OutlierDetector,
        suspects: Suspects,
        clock: Clock,
    ) -> None:
        """Send through ``upstream``, count in ``loads``."""
        self.suspects = suspects
        self.crashes = CrashWatch(upstream, suspects)
        self.loads = loads
        self.health = health
        self.clock = clock
        self._upstream = upstream
        self._hold: dict[str, HoldTime] = {}

    def life_ended(self, life: str) -> None:
        """Forget the verdicts on a life and what peers counted there."""
        self.health.forget(life)
        self.loads.forget_life(life)

    def hold(self, service: str) -> HoldTime:
        """Return how long online requests of a service hold a slot."""
        return self._hold.setdefault(service, HoldTime())

    def open(
        self,
        replica: Replica,
        req: UpstreamRequest,
        kind: WorkKind,
        left_s: float,
        fresh: bool = False,
    ) -> Run:
        """Send a request; raise ConnectFailed or OutcomeUnknown.

        A ``fresh`` one goes out on a new connection.
        """
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.loads.running(replica.life, kind))
            try:
                exchange = self._upstream.send(replica, req, left_s, fresh)
            except CactusridgeError:
                self.health.failed(replica.life, certain=True)
                raise
            metrics.ATTEMPTS.inc({'service': replica.service})
            stack.callback(exchange.close)
            return Run(
                replica,
                kind,
                exchange,
                self,
                req.fingerprint,
                stack.pop_all(),
            )
        raise AssertionError('unreachable')
