"""Sends requests to replicas and retries those that may be repeated."""

import functools
import random
from collections.abc import Callable, Sequence
from http import HTTPStatus

import gevent

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.errors import (
    CactusridgeError,
    CallerDisconnected,
    DeadlineExceeded,
    NoReplica,
    StopLimit,
)
from cactusridge.identity import new_id
from cactusridge.orders import RunOrder, WorkClass
from cactusridge.quarantine.crash_evidence import CrashEvidence
from cactusridge.quarantine.policies import RULES
from cactusridge.routing.candidates import PickRequest
from cactusridge.routing.retry_budget import RetryPolicy
from cactusridge.sidecar_dispatch.attempt import (
    Attempt,
    Callbacks,
    RemoteRefusal,
)
from cactusridge.sidecar_dispatch.dispatch import Dispatch
from cactusridge.sidecar_dispatch.fleet import Fleet
from cactusridge.sidecar_dispatch.outcome_resolver import OutcomeResolver
from cactusridge.sidecar_dispatch.policies import (
    make_outliers,
    make_picker,
    make_retries,
)
from cactusridge.sidecar_dispatch.replica import Replica
from cactusridge.sidecar_dispatch.run_listener import CrashIds, CrashReporter
from cactusridge.sidecar_dispatch.sidecar_client import SidecarClient
from cactusridge.startup.models import EntrySettings

NON_RETRYABLE_CODES = frozenset(
    ('bad_request', 'not_found', 'too_large', 'quarantined'),
)
MIN_RETRY_S = 0.5


def combine_not_run(outcomes: Sequence[bool | None]) -> bool | None:
    """Combine the ``not_run`` values of several attempts at a request.

    Returns True if no attempt ran the request, False if at least one is
    known to have run it, and None if neither is known.
    """
    if all(outcomes):
        return True
    return False if False in outcomes else None


def ignore_heartbeat() -> None:
    """Ignore a heartbeat of a sidecar."""


class Dispatcher:
    """Sends requests to replicas until one answers or no retry is allowed."""

    def __init__(
        self,
        cfg: EntrySettings,
        fleet: Fleet,
        client: SidecarClient,
        clock: Clock,
    ) -> None:
        """Choose replicas from ``fleet``, as seen from the zone in ``cfg``."""
        self.fleet = fleet
        self.outliers = make_outliers(cfg.policy, clock)
        self.suspects = CrashEvidence(RULES[cfg.policy.quarantine](), clock)
        self._crashes = CrashIds(clock)
        self._zone = cfg.zone
        self._policy = cfg.policy
        self._client = client
        self._resolver = OutcomeResolver(client, clock)
        self._clock = clock
        self._rng = random.Random()  # noqa: S311
        self._picker = make_picker(cfg.policy, self._rng)
        self._budgets: dict[str, RetryPolicy] = {}

    def open(
        self,
        dispatch: Dispatch,
        on_heartbeat: Callable[[], None] = ignore_heartbeat,
    ) -> Attempt:
        """Return an attempt whose answer has started.

        Raises the last attempt's error if none succeeded; its ``not_run``
        is True only if no attempt can have run the request.
        """
        budget = self._budget(dispatch)
        budget.record_request()
        tried: list[str] = []
        outcomes: list[bool | None] = []
        while True:
            try:
                return self._open_at_one(dispatch, tried, on_heartbeat)
            except CactusridgeError as exc:
                outcomes.append(exc.not_run)
                exc.not_run = combine_not_run(outcomes)
                self._check_retry(dispatch, exc, budget, len(outcomes))

    def check(self, dispatch: Dispatch) -> None:
        """Raise Quarantined if the request is quarantined; no item is."""
        if dispatch.work == WorkClass.online:
            self.suspects.check(dispatch.fingerprint())

    def attempt(
        self,
        dispatch: Dispatch,
        replica: Replica,
        on_heartbeat: Callable[[], None] = ignore_heartbeat,
    ) -> Attempt:
        """Send to ``replica``; an error's ``not_run`` holds the outcome."""
        host = self.fleet.host(replica.address)
        if host is None:
            raise NoReplica('the sidecar has been removed from the fleet')
        now = self._clock.monotonic()
        order = dispatch.order(
            new_id('r', self._clock),
            host.incarnation,
            now,
            self.fleet.report_due(host),
        )
        metrics.ATTEMPTS.inc({'service': dispatch.service.path})
        try:
            attempt = self._begin(order, dispatch, replica, on_heartbeat)
        except CactusridgeError as exc:
            self._note_failure(replica, exc)
            self._resolver.resolve(order, dispatch, replica, exc, now)
            raise
        self.outliers.succeeded(replica.key, replica.report['token_s'])
        return attempt

    def choose(self, dispatch: Dispatch, tried: Sequence[str]) -> Replica:
        """Return the replica for the next attempt at ``dispatch``.

        Replicas whose keys are in ``tried`` are chosen only if there is no
        other. Raises NoReplica if no replica accepts work.
        """
        replicas = {
            replica.key: replica
            for replica in self.fleet.replicas(dispatch.service.path)
        }
        fresh = set(replicas) - set(tried) or set(replicas)
        if not fresh:
            raise NoReplica(
                f'no replica of {dispatch.service.name} accepts work now',
                retry_after_s=MIN_RETRY_S,
            )
        allowed = self.outliers.selectable(replicas) & fresh
        now = self.fleet.now()
        sharers = len(self.fleet.entry_names())
        candidates = [
            replicas[key].candidate(now, sharers)
            for key in sorted(allowed or fresh)
        ]
        request = PickRequest(self._zone, dispatch.prefix)
        return replicas[self._picker.pick(candidates, request).key]

    def _open_at_one(
        self,
        dispatch: Dispatch,
        tried: list[str],
        on_heartbeat: Callable[[], None],
    ) -> Attempt:
        self.check(dispatch)
        replica = self.choose(dispatch, tried)
        tried.append(replica.key)
        return self.attempt(dispatch, replica, on_heartbeat)

    def _begin(
        self,
        order: RunOrder,
        dispatch: Dispatch,
        replica: Replica,
        on_heartbeat: Callable[[], None],
    ) -> Attempt:
        resp = self._client.run(replica.address, order, dispatch.body)
        callbacks = Callbacks(
            on_heartbeat,
            functools.partial(self.fleet.note_report, replica.address),
            CrashReporter(dispatch, replica, self.suspects, self._crashes),
        )
        attempt = Attempt(order, replica, resp, callbacks)
        limit = gevent.Timeout(
            self._limit_s(dispatch),
            DeadlineExceeded(retry_after_s=MIN_RETRY_S),
        )
        try:
            with limit:
                attempt.wait_head()
                attempt.prefetch(dispatch.buffering)
        except BaseException:
            attempt.close()
            raise
        return attempt

    def _limit_s(self, dispatch: Dispatch) -> float | None:
        """Return the longest wait for an answer, in seconds.

        Returns None for batch items: their sidecar counts the time-out from
        the start of the run, so that waiting for a slot costs no attempt.
        """
        if dispatch.work == WorkClass.batch:
            return None
        return max(0, dispatch.deadline_at - self._clock.monotonic())

    def _check_retry(
        self,
        dispatch: Dispatch,
        exc: CactusridgeError,
        budget: RetryPolicy,
        attempts: int,
    ) -> None:
        """Return if the request may be retried, else raise ``exc``."""
        may_repeat = exc.not_run or dispatch.repeatable
        late = self._clock.monotonic() >= dispatch.deadline_at
        if late or not may_repeat or exc.code in NON_RETRYABLE_CODES:
            raise exc
        if isinstance(exc, CallerDisconnected | StopLimit):
            raise exc
        if not budget.allow(attempts):
            raise exc
        metrics.RETRIES.inc({'service': dispatch.service.path})
        logs.emit(
            events.RETRIED,
            service=dispatch.service.path,
            attempts=attempts,
            cause=exc.code,
        )

    def _note_failure(self, replica: Replica, exc: CactusridgeError) -> None:
        if isinstance(exc, RemoteRefusal) and exc.not_run:
            return
        if exc.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self.outliers.failed(replica.key)

    def _budget(self, dispatch: Dispatch) -> RetryPolicy:
        path = dispatch.service.path
        if path not in self._budgets:
            share = dispatch.service.settings.retry_share
            self._budgets[path] = make_retries(self._policy, share)
        return self._budgets[path]
