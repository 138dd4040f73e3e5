"""Attempts of one call at replicas: choice, sending and time."""

import random

from cactusridge.clock import Clock
from cactusridge.dispatch.catalog import Route
from cactusridge.dispatch.online_call import OnlineCall, Progress
from cactusridge.dispatch.online_log import OnlineLog
from cactusridge.dispatch.placement import (
    Choice,
    consider,
    expected_wait_s,
    silence_s,
)
from cactusridge.dispatch.policies import DispatchPolicies
from cactusridge.dispatch.retries import NO_REPLICA_RETRY_S, may_go_again
from cactusridge.dispatch.returns import Refusal
from cactusridge.dispatch.run import NotRun, Run, Runner
from cactusridge.dispatch.upstream import (
    UpstreamHead,
    UpstreamRequest,
    UpstreamSilent,
)
from cactusridge.errors import (
    CallerGone,
    DeadlineExceeded,
    NoReplica,
    OutcomeUnknown,
    Overloaded,
)
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.peers.cells import Cells
from cactusridge.peers.load import WorkKind


class Attempts:
    """Makes the attempts of calls."""

    def __init__(
        self,
        fleet: FleetView,
        cells: Cells,
        runner: Runner,
        zone: str,
        clock: Clock,
        log: OnlineLog,
        policies: DispatchPolicies,
    ) -> None:
        """Choose among ``fleet`` as seen from ``zone``."""
        self._fleet = fleet
        self._cells = cells
        self._runner = runner
        self._zone = zone
        self._clock = clock
        self._log = log
        self._policies = policies
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
        near = self._cells.of_service(service).near
        compared = consider(
            allowed or fresh,
            near,
            loads.offered(),
            self._rng,
        )
        choices = [
            Choice(ready[key], loads.at(key), key in near) for key in compared
        ]
        best = self._policies.placing.choose(choices, self._zone, self._rng)
        self._check_wait(call, best)
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
        call.caller.call_when_gone(run.abort)
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
        if may_go_again(call, progress):
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

    def check(self, call: OnlineCall, progress: Progress) -> None:
        """Return if the call may go to a replica now, else raise.

        The caller is there, the request is not held back, and there is
        time left.
        """
        if call.caller.gone:
            raise CallerGone
        self._runner.suspects.check(call.req.fingerprint)
        call.permit.check()
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

    def _check_wait(self, call: OnlineCall, best: Choice) -> None:
        """Return if a call may wait at its best replica, else refuse it."""
        hold = self._runner.hold(best.replica.service)
        wait_s = expected_wait_s(best, hold.mean_s)
        excess_s = self._policies.admission.excess_s(wait_s, call.route.aim_s)
        if excess_s <= 0:
            return
        left_s = call.deadline_at - self._clock.monotonic()
        refusal = Refusal(excess_s, left_s)
        raise Overloaded(
            f'{wait_s:.3f} s to wait',
            retry_after_s=self._policies.returns.after_s(refusal),
        )

    def _service(self, route: Route) -> str:
        """Return a service of the route, by the weights of its split."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._rng.choices(route.shares, weights)[0].service
