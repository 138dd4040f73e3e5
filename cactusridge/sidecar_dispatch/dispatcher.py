"""Places requests on replicas: choice, retries, at-most-once."""

import functools
import random
from collections.abc import Callable, Sequence
from http import HTTPStatus

import gevent

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.errors import (
    CactusridgeError,
    CallerGone,
    DeadlineExceeded,
    NoReplica,
)
from cactusridge.identity import new_id
from cactusridge.orders import RunOrder, WorkClass
from cactusridge.quarantine.policies import RULES
from cactusridge.quarantine.suspects import Suspects
from cactusridge.routing.candidates import PickRequest
from cactusridge.routing.retry_budget import RetryPolicy
from cactusridge.sidecar_dispatch.attempt import (
    Attempt,
    Callbacks,
    RemoteRefusal,
)
from cactusridge.sidecar_dispatch.dispatch import Dispatch
from cactusridge.sidecar_dispatch.fleet import Fleet
from cactusridge.sidecar_dispatch.policies import (
    make_outliers,
    make_picker,
    make_retries,
)
from cactusridge.sidecar_dispatch.replica import Replica
from cactusridge.sidecar_dispatch.settler import Settler
from cactusridge.sidecar_dispatch.sidecar_client import SidecarClient
from cactusridge.sidecar_dispatch.suspect_run import CrashNames, SuspectRun
from cactusridge.startup.models import EntrySettings

FINAL_CODES = frozenset(
    ('bad_request', 'not_found', 'too_large', 'quarantined'),
)
MIN_RETRY_S = 0.5


def none_ran(said: Sequence[bool | None]) -> bool | None:
    """Return what may be said of a request after several attempts.

    True only if each is known not to have run; False if one is known
    to have run; None if that is not known of some.
    """
    if all(said):
        return True
    return False if False in said else None


def ignore_heartbeat() -> None:
    """Do nothing on a heartbeat."""


class Dispatcher:
    """Sends requests to replicas until one has answered or none may."""

    def __init__(
        self,
        cfg: EntrySettings,
        fleet: Fleet,
        client: SidecarClient,
        clock: Clock,
    ) -> None:
        """Choose among ``fleet`` as seen from the zone in ``cfg``."""
        self.fleet = fleet
        self.outliers = make_outliers(cfg.policy, clock)
        self.suspects = Suspects(RULES[cfg.policy.quarantine](), clock)
        self._crashes = CrashNames(clock)
        self._zone = cfg.zone
        self._policy = cfg.policy
        self._client = client
        self._settler = Settler(client, clock)
        self._clock = clock
        self._rng = random.Random()  # noqa: S311
        self._picker = make_picker(cfg.policy, self._rng)
        self._budgets: dict[str, RetryPolicy] = {}

    def open(
        self,
        dispatch: Dispatch,
        on_heartbeat: Callable[[], None] = ignore_heartbeat,
    ) -> Attempt:
        """Return an attempt whose answer has begun; raise when none can.

        The error's ``not_run`` is True only if no attempt can have run.
        """
        budget = self._budget(dispatch)
        budget.request()
        tried: list[str] = []
        said: list[bool | None] = []
        while True:
            try:
                return self._open_at_one(dispatch, tried, on_heartbeat)
            except CactusridgeError as exc:
                said.append(exc.not_run)
                exc.not_run = none_ran(said)
                self._check_retry(dispatch, exc, budget, len(said))

    def check(self, dispatch: Dispatch) -> None:
        """Raise Quarantined if the request is held back."""
        self.suspects.check(dispatch.fingerprint())

    def attempt(
        self,
        dispatch: Dispatch,
        replica: Replica,
        on_heartbeat: Callable[[], None] = ignore_heartbeat,
    ) -> Attempt:
        """Try one replica; the error says truly whether it ran."""
        host = self.fleet.host(replica.address)
        if host is None:
            raise NoReplica('the replica is gone')
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
            self._settler.settle(order, dispatch, replica, exc, now)
            raise
        self.outliers.succeeded(replica.key, replica.report['token_s'])
        return attempt

    def choose(self, dispatch: Dispatch, tried: Sequence[str]) -> Replica:
        """Return the replica for ``dispatch``, none of ``tried`` if it can."""
        replicas = {
            replica.key: replica
            for replica in self.fleet.replicas(dispatch.service.path)
        }
        fresh = set(replicas) - set(tried) or set(replicas)
        if not fresh:
            raise NoReplica(
                f'no replica of {dispatch.service.name} takes work now',
                retry_after_s=MIN_RETRY_S,
            )
        allowed = self.outliers.allowed(replicas) & fresh
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
            SuspectRun(dispatch, replica, self.suspects, self._crashes),
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
        """Return how long to wait for an answer; None: its sidecar says.

        A batch item's time counts from the start of its run, which only
        the sidecar sees; counted from here, an item that got its place
        late would be charged an attempt for waiting.
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
        """Return if the request may go again, else raise ``exc``."""
        may_repeat = exc.not_run or dispatch.repeatable
        late = self._clock.monotonic() >= dispatch.deadline_at
        if late or not may_repeat or exc.code in FINAL_CODES:
            raise exc
        if isinstance(exc, CallerGone):
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
