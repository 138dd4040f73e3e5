"""Makes attempts: chooses a replica, sends to it and limits the wait."""

import random
from collections.abc import Mapping, Sequence, Set

from cactusridge.clock import Clock
from cactusridge.dispatch.expectation import Expectation
from cactusridge.dispatch.online_call import OnlineCall, Progress
from cactusridge.dispatch.online_log import OnlineLog
from cactusridge.dispatch.placement import (
    Choice,
    expected_wait_s,
    select_candidates,
    tolerated_silence_s,
)
from cactusridge.dispatch.policies import DispatchPolicies
from cactusridge.dispatch.retries import NO_REPLICA_RETRY_S, may_retry
from cactusridge.dispatch.retry_after import Refusal
from cactusridge.dispatch.run import NotRun, Run, Runner
from cactusridge.dispatch.service_draw import draw_service
from cactusridge.dispatch.spare_slots import has_spare_slot
from cactusridge.dispatch.upstream import (
    UpstreamHead,
    UpstreamRequest,
    UpstreamSilent,
)
from cactusridge.dispatch.wait_too_long import WaitEstimate, WaitTooLong
from cactusridge.errors import (
    CallerDisconnected,
    DeadlineExceeded,
    NoReplica,
    OutcomeUnknown,
    Overloaded,
    StopLimit,
)
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.fleet.stream_origin import StreamOrigin
from cactusridge.peers.cells import Cells
from cactusridge.peers.load import WorkKind


class Attempts:
    """Makes single attempts at replicas on behalf of online calls."""

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
        """Choose replicas from ``fleet`` for an entry in ``zone``."""
        self._fleet = fleet
        self._cells = cells
        self._runner = runner
        self._zone = zone
        self._clock = clock
        self._log = log
        self._policies = policies
        self._rng = random.Random()  # noqa: S311

    def choose(self, call: OnlineCall, progress: Progress) -> Replica:
        """Return the replica for the next attempt.

        Raises NoReplica if the service has no ready replica, and
        Overloaded if the expected wait at the best one is too long. A stream
        that may go on at few replicas only waits there for its turn.
        """
        if progress.origin is not None:
            return self._best_of_origin(progress.origin, progress.tried).replica
        service = progress.service or draw_service(call.route, self._rng)
        best = self._best(service, progress.tried)
        self._check_wait(call, best)
        return best.replica

    def has_free_slot(self, service: str) -> bool:
        """Return whether a waiting request of ``service`` may start.

        That holds if the best replica, to which it would be sent, has a spare
        slot. Another one may have a spare slot while the best has none.
        """
        try:
            return has_spare_slot(self._best(service, ()))
        except NoReplica:
            return False

    def open(
        self,
        call: OnlineCall,
        replica: Replica,
        progress: Progress,
        req: UpstreamRequest,
    ) -> Run:
        """Send ``req`` to ``replica`` and return the run.

        Raises ConnectFailed if the replica could not be reached, and
        OutcomeUnknown if the connection broke while sending.
        """
        progress.tried.append(replica.incarnation)
        load = self._runner.loads.total_at(replica.incarnation)
        speed = self._runner.capacity.speed(replica.incarnation)
        progress.expected = self._expect(Choice(replica, load, speed=speed))
        left_s = call.deadline_at - self._clock.monotonic()
        try:
            run = self._runner.open(
                replica,
                req,
                WorkKind.online,
                left_s,
                # A fault that broke one pooled connection may have broken
                # those to other replicas too, and attempts are limited.
                new_connection=progress.may_have_run > 0,
            )
        except (OutcomeUnknown, StopLimit):
            progress.may_have_run += 1
            raise
        call.caller.on_disconnect(run.abort)
        self._log.placed(call, progress, replica, req)
        return run

    def head(
        self,
        call: OnlineCall,
        run: Run,
        progress: Progress,
    ) -> UpstreamHead:
        """Wait for the head of the answer and return it.

        The request counts as one that may have run unless the replica
        reports that it did not run it. Raises UpstreamSilent if the
        replica sends nothing in time, and what ``Run.head`` raises.
        """
        progress.may_have_run += 1
        limit_s = None
        if may_retry(call, progress):
            limit_s = tolerated_silence_s(
                self._runner.loads.total_at(run.replica.incarnation),
                run.replica.slots,
                call.route.target_latency_s,
                progress.expected.speed,
            )
        try:
            return run.head(self.wait_s(call, limit_s))
        except NotRun:
            progress.may_have_run -= 1
            raise
        except UpstreamSilent:
            # A run that reaches its deadline may simply be long. Only a
            # wait that was limited to allow a retry at another replica
            # counts as a failure of the replica.
            if limit_s is not None:
                run.record_failure()
            raise

    def check(self, call: OnlineCall, progress: Progress) -> None:
        """Return if the call may be sent to a replica now, else raise.

        Raises CallerDisconnected if the caller has disconnected, Quarantined if
        the request is quarantined, what the permit raises, and at the
        deadline DeadlineExceeded, or Overloaded if the request has not
        run.
        """
        if call.caller.disconnected:
            raise CallerDisconnected
        self._runner.suspects.check(call.req.fingerprint, call.req.parts)
        call.permit.check()
        if self._clock.monotonic() < call.deadline_at:
            return
        if progress.may_have_run:
            raise DeadlineExceeded
        raise Overloaded('no replica accepted the request in time')

    def wait_s(self, call: OnlineCall, limit_s: float | None) -> float:
        """Return how long to wait for the next bytes, in seconds.

        The wait ends at the call's deadline, and after ``limit_s`` if
        that is given. Raises DeadlineExceeded after the deadline.
        """
        left_s = call.deadline_at - self._clock.monotonic()
        if left_s <= 0:
            raise DeadlineExceeded
        return left_s if limit_s is None else min(left_s, limit_s)

    def _choices(
        self, replicas: Mapping[str, Replica], local: Set[str]
    ) -> list[Choice]:
        """Return replicas, given by incarnation, with loads and speeds."""
        loads = self._runner.loads
        speeds = self._runner.capacity.unusual_speeds()
        return [
            Choice(
                replica, loads.total_at(key), key in local, speeds.get(key, 1)
            )
            for key, replica in replicas.items()
        ]

    def _best(self, service: str, tried: Sequence[str]) -> Choice:
        """Return the best replica of a service, if possible not in ``tried``.

        Raises NoReplica if the service has no ready replica.
        """
        ready = {
            replica.incarnation: replica
            for replica in self._fleet.ready(service)
        }
        fresh = set(ready) - set(tried) or set(ready)
        return self._best_among(service, ready, fresh)

    def _best_of_origin(
        self, origin: StreamOrigin, tried: Sequence[str]
    ) -> Choice:
        """Return the best replica at which a stream of ``origin`` may go on.

        A replica in ``tried`` may have restarted at another version under its
        id. Raises NoReplica if there is no other one.
        """
        ready = {
            replica.incarnation: replica
            for replica in self._fleet.ready(origin.service)
            if self._fleet.may_continue(origin, replica)
        }
        fresh = set(ready) - set(tried)
        if not origin.version:
            fresh = fresh or set(ready)
        return self._best_among(origin.service, ready, fresh)

    def _best_among(
        self, service: str, ready: Mapping[str, Replica], fresh: Set[str]
    ) -> Choice:
        """Return the best of the replicas in ``ready`` that are ``fresh``.

        Raises NoReplica if there are none.
        """
        if not fresh:
            raise NoReplica(
                f'no replica of {service} is ready',
                retry_after_s=NO_REPLICA_RETRY_S,
            )
        allowed = self._runner.health.selectable(ready) & fresh
        local = self._cells.of_service(service).local
        compared = select_candidates(
            allowed or fresh,
            local,
            self._runner.loads.offered_replicas(),
            self._rng,
        )
        choices = self._choices({key: ready[key] for key in compared}, local)
        return self._policies.placing.choose(choices, self._zone, self._rng)

    def _check_wait(self, call: OnlineCall, best: Choice) -> None:
        """Raise Overloaded if the expected wait at ``best`` is too long."""
        expected = self._expect(best)
        excess_s = self._policies.admission.excess_s(
            expected.wait_s, call.route.target_latency_s
        )
        if excess_s <= 0:
            return
        left_s = call.deadline_at - self._clock.monotonic()
        refusal = Refusal(excess_s, left_s)
        estimate = WaitEstimate(
            best.replica.id,
            expected.queue,
            best.replica.slots,
            expected.queued_slot_s,
            expected.wait_s,
            self._runner.loads.age_s(),
        )
        raise WaitTooLong(
            estimate,
            self._policies.returns.delay_s(refusal),
            best.replica.service,
        )

    def _expect(self, choice: Choice) -> Expectation:
        slot_s = self._runner.capacity.queued_slot_s(choice.replica)
        wait_s = expected_wait_s(choice, slot_s)
        return Expectation(choice.queue, slot_s, wait_s, choice.speed)
