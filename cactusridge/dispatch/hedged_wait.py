"""Waits for a silent replica and meanwhile offers its request to others.

A silence alone never ends a run, since the replica may go on. The run stays
open until another replica has accepted the request or has had it for a while.
"""

import functools
from collections.abc import Sequence
from typing import NamedTuple

from cactusridge import metrics
from cactusridge.clock import Clock
from cactusridge.dispatch.attempts import Attempts
from cactusridge.dispatch.awaited import Awaited, AwaitedHead
from cactusridge.dispatch.hedge_race import Polled, Verdict, decide, poll
from cactusridge.dispatch.online_log import OnlineLog
from cactusridge.dispatch.retries import MAX_REJECTIONS, may_retry
from cactusridge.dispatch.run import NotRun, Run
from cactusridge.dispatch.silence_decision import SilenceDecision
from cactusridge.dispatch.upstream import (
    ConnectFailed,
    UpstreamHead,
    UpstreamSilent,
)
from cactusridge.errors import (
    CactusridgeError,
    CallerDisconnected,
    DeadlineExceeded,
    StopLimit,
)

# Seconds from the second send until the first run is closed, unless the second
# one has failed. Two replicas may work on a request for 0.4 s at most.
HANDOVER_S = 0.2
# Longest time in seconds between two looks at the first run meanwhile, and
# after HANDOVER_S, when both runs are at the same replica.
POLL_S = 0.01
LATE_POLL_S = 0.05
# Seconds after which another replica is looked for again, the first time.
REPEAT_S = 0.2


class Found(NamedTuple):
    """The run that goes on.

    If that is the awaited run, ``received`` is what it brought. If another run
    has taken its place, ``received`` is None, and ``head`` is that of the other
    run, if it has arrived.
    """

    run: Run
    received: bytes | UpstreamHead | None
    head: UpstreamHead | None = None


class HedgedWait:
    """One wait for a part of an answer, with second runs where possible."""

    def __init__(
        self,
        awaited: Awaited,
        attempts: Attempts,
        clock: Clock,
        log: OnlineLog,
    ) -> None:
        """Begin to wait for ``awaited``."""
        self._awaited = awaited
        self._call = awaited.call
        self._progress = awaited.progress
        self._attempts = attempts
        self._clock = clock
        self._log = log
        self._since = clock.monotonic()
        # The reason that was logged last, and the attempts made by then.
        self._reason = ''
        self._sent = 0

    def found(self) -> Found:
        """Return the run that goes on; see ``Hedging.wait``."""
        limit_s = None
        if self._call.route.repeatable:
            limit_s = self._awaited.tolerated_s(self._attempts)
        repeat_s = REPEAT_S
        while True:
            received = self._receive(limit_s)
            if received is not None:
                return Found(self._awaited.run, received)
            found = self._offer() if self._may_offer() else None
            if found is not None:
                return found
            limit_s = repeat_s if self._may_offer() else None
            repeat_s *= self._awaited.repeat_growth

    def _receive(self, limit_s: float | None) -> bytes | UpstreamHead | None:
        """Return what the run brings, None after ``limit_s`` of silence.

        Raises UpstreamSilent or DeadlineExceeded at the deadline.
        """
        run = self._awaited.run
        try:
            received = self._awaited.receive(
                self._attempts.wait_s(self._call, limit_s)
            )
        except DeadlineExceeded:
            run.check_abandoned()
            raise
        except UpstreamSilent:
            is_over = self._clock.monotonic() >= self._call.deadline_at
            if limit_s is None or is_over:
                run.check_abandoned()
                raise
            return None
        if self._reason:
            self._record(None, Verdict.went_on)
        return received

    def _may_offer(self) -> bool:
        """Return whether the request may be sent once more.

        One rejection is left for the case that the run breaks. A second run
        that began in the last HANDOVER_S could not answer in time.
        """
        if not may_retry(self._call, self._progress):
            self._record(None, 'attempts_used')
            return False
        if self._progress.rejections + 1 >= MAX_REJECTIONS:
            self._record(None, 'rejections_used')
            return False
        left_s = self._call.deadline_at - self._clock.monotonic()
        if left_s <= HANDOVER_S:
            self._record(None, 'no_time_left')
            return False
        return True

    def _offer(self) -> Found | None:
        """Offer the request to another replica.

        Returns None if the awaited run goes on and has brought nothing.
        """
        if not self._reason:
            self._awaited.record_silence()
        before = self._progress.expected
        try:
            second = self._send()
        except (CallerDisconnected, DeadlineExceeded, StopLimit):
            raise
        except CactusridgeError as exc:
            self._progress.rejections += isinstance(exc, ConnectFailed)
            self._progress.expected = before
            self._record(None, exc.code, str(exc))
            return None
        try:
            found = self._race(second)
        except BaseException:
            second.run.close()
            raise
        if found is None or found.run is not second.run:
            second.run.close()
            self._progress.expected = before
        else:
            self._awaited.run.close()
        return found

    def _send(self) -> AwaitedHead:
        """Send the request to another replica; return what it is to bring.

        Raises what ``Attempts.choose_other``, ``check`` and ``open`` raise.
        """
        replica = self._attempts.choose_other(
            self._call,
            self._progress,
            self._awaited.run.replica,
            self._awaited.may_repeat_here,
        )
        self._attempts.check(self._call, self._progress)
        run = self._attempts.open(
            self._call, replica, self._progress, self._awaited.request()
        )
        metrics.RETRIES.inc({'service': replica.service})
        return self._awaited.head_at(run)

    def _race(self, second: AwaitedHead) -> Found | None:
        """Wait until it is decided which of two runs goes on."""
        first = self._awaited
        self._on_disconnect(first.run, second.run)
        handover_at = self._clock.monotonic() + HANDOVER_S
        overdue_at = min(self._call.deadline_at, handover_at)
        waits = (0, POLL_S)
        if second.run.replica.incarnation == first.run.replica.incarnation:
            # If the replica goes on, both answer at once: the first is kept.
            overdue_at = self._call.deadline_at
            waits = (POLL_S, 0)
        verdict = None
        while verdict is None:
            new = poll(second, waits[1])
            old = poll(first, waits[0])
            now = self._clock.monotonic()
            if waits[0] and now >= handover_at:
                waits = (LATE_POLL_S, 0)
            verdict = decide(old, new, now >= overdue_at)
        return self._settle(verdict, second, old, new)

    def _settle(
        self, verdict: Verdict, second: AwaitedHead, old: Polled, new: Polled
    ) -> Found | None:
        first = self._awaited.run
        error = str(new.failure or old.failure or '')
        if verdict.keeps_first:
            self._on_disconnect(first)
            self._progress.rejections += isinstance(new.failure, NotRun)
            self._record(None, verdict, error)
            if old.received is not None:
                return Found(first, old.received)
            if old.failure is not None:
                raise old.failure
            return None
        self._on_disconnect(second.run)
        self._record(second.run.replica.id, verdict, error)
        if verdict != Verdict.broken:
            first.check_abandoned()
        head = new.received
        return Found(second.run, None, head)

    def _on_disconnect(self, *runs: Run) -> None:
        """Abort ``runs`` when the caller disconnects."""
        if not self._call.caller.disconnected:
            self._call.caller.on_disconnect(functools.partial(_abort, runs))

    def _record(self, other: str | None, reason: str, error: str = '') -> None:
        """Log a decision, unless it repeats the one before without a send."""
        sent = len(self._progress.tried)
        if (reason, sent) == (self._reason, self._sent):
            return
        self._reason = reason
        self._sent = sent
        decision = SilenceDecision(
            other,
            str(reason),
            error,
            self._awaited.request().resume_after,
            self._clock.monotonic() - self._since,
        )
        self._log.silence(self._call, self._awaited.run, decision)


def _abort(runs: Sequence[Run]) -> None:
    for run in runs:
        run.abort()
