"""Attempts of one call at replicas: choice, sending, time, and retries."""

import random

from cactusridge.clock import Clock
from cactusridge.dispatch.catalog import Route
from cactusridge.dispatch.fleet_view import FleetView
from cactusridge.dispatch.loads import WorkKind
from cactusridge.dispatch.online_call import OnlineCall, Progress
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
from cactusridge.dispatch.run import NotRun, Run, Runner
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
)

# Replicas that may turn a request away before its caller is told: one
# more than a replica just full and another that has just left.
MAX_TURNED_AWAY = 4
# A wait for a replica to appear, in seconds; a caller that comes back
# then finds the list of replicas read once more.
NO_REPLICA_RETRY_S = 0.3


class Attempts:
    """Makes the attempts of calls and says when another is allowed."""

    def __init__(
        self,
        fleet: FleetView,
        runner: Runner,
        zone: str,
        clock: Clock,
        log: OnlineLog,
    ) -> None:
        """Choose among ``fleet`` as seen from ``zone``."""
        self._fleet = fleet
        self._runner = runner
        self._zone = zone
        self._clock = clock
        self._log = log
        self._rng = random.Random()  # noqa: S311

    def choose(self, call: OnlineCall, progress: Progress) -> Replica:
        """Return the replica for the next attempt; raise what refuses it."""
        service = self._service(call.route)
        ready = {
            replica.life: replica for replica in self._fleet.ready(service)
        }
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

    def open(
        self,
        call: OnlineCall,
        replica: Replica,
        progress: Progress,
        req: UpstreamRequest,
    ) -> Run:
        """Send a request; raise ConnectFailed or OutcomeUnknown."""
        progress.tried.append(replica.life)
        left_s = call.deadline_at - self._clock.monotonic()
        try:
            run = self._runner.open(
                replica,
                req,
                WorkKind.online,
                left_s,
                # Whatever silenced one kept connection may have silenced
                # those to other replicas, and attempts are few.
                fresh=progress.may_have_run > 0,
            )
        except OutcomeUnknown:
            progress.may_have_run += 1
            raise
        call.caller.call_when_gone(run.exchange.abort)
        self._log.placed(call, progress, replica, req)
        return run

    def head(
        self,
        call: OnlineCall,
        run: Run,
        progress: Progress,
    ) -> UpstreamHead:
        """Return the head; until it is known not to have run, it may have."""
        progress.may_have_run += 1
        limit_s = None
        if self.may_go_again(call, progress):
            limit_s = silence_s(
                self._runner.loads.at(run.replica.life),
                run.replica.slots,
                call.route.aim_s,
            )
        try:
            return run.head(self.wait_s(call, limit_s))
        except NotRun:
            progress.may_have_run -= 1
            raise
        except UpstreamSilent:
            # At the deadline it may just be long work; only a wait that
            # was cut short to go elsewhere speaks against the replica.
            if limit_s is not None:
                run.failed()
            raise

    def may_go_again(self, call: OnlineCall, progress: Progress) -> bool:
        """Tell whether a request that may have run may be sent again."""
        if not call.route.repeatable:
            return False
        return progress.may_have_run < call.route.attempts

    def check_retry(
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
        if not self.may_go_again(call, progress):
            raise exc

    def check_time(self, call: OnlineCall, progress: Progress) -> None:
        """Return if there is time left and the caller is there, else raise."""
        if call.caller.gone:
            raise CallerGone
        if self._clock.monotonic() < call.deadline_at:
            return
        if progress.may_have_run:
            raise DeadlineExceeded
        raise Overloaded('no replica took it in time')

    def wait_s(self, call: OnlineCall, limit_s: float | None) -> float:
        """Return how long to wait for bytes; raise when time is up."""
        left_s = call.deadline_at - self._clock.monotonic()
        if left_s <= 0:
            raise DeadlineExceeded
        return left_s if limit_s is None else min(left_s, limit_s)

    def note_hold(self, replica: Replica, begun_at: float) -> None:
        """Note how long a request that has ended held its slot."""
        held_s = self._clock.monotonic() - begun_at
        self._runner.hold(replica.service).ended(held_s)

    def _service(self, route: Route) -> str:
        """Return a service of the route, by the weights of its split."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._rng.choices(route.shares, weights)[0].service
