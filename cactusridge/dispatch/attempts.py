"""Makes attempts: chooses a replica, sends to it and limits the wait."""

from cactusridge.clock import Clock
from cactusridge.dispatch.online_call import OnlineCall, Progress
from cactusridge.dispatch.online_log import OnlineLog
from cactusridge.dispatch.placement import Choice, tolerated_silence_s
from cactusridge.dispatch.policies import DispatchPolicies
from cactusridge.dispatch.replica_choice import ReplicaChoice
from cactusridge.dispatch.run import Run, Runner
from cactusridge.dispatch.upstream import UpstreamRequest
from cactusridge.errors import (
    CallerDisconnected,
    DeadlineExceeded,
    OutcomeUnknown,
    Overloaded,
    StopLimit,
)
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.peers.cells import Cells
from cactusridge.peers.load import WorkKind


class Attempts(ReplicaChoice):
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
        super().__init__(fleet, cells, runner, zone, clock, policies)
        self._log = log

    def open(
        self,
        call: OnlineCall,
        replica: Replica,
        progress: Progress,
        req: UpstreamRequest,
    ) -> Run:
        """Send ``req`` to ``replica`` and return the run.

        From then on the request counts as one that may have run. Raises
        ConnectFailed if the replica could not be reached, and OutcomeUnknown if
        the connection broke while sending.
        """
        progress.tried.append(replica.incarnation)
        load = self._runner.loads.total_at(replica.incarnation)
        speed = self._runner.capacity.speed(replica.incarnation)
        progress.expected = self.expect(Choice(replica, load, speed=speed))
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
        progress.may_have_run += 1
        call.caller.on_disconnect(run.abort)
        self._log.placed(call, progress, replica, req)
        return run

    def tolerated_silence_s(self, call: OnlineCall, run: Run) -> float:
        """Return the silence to tolerate before a head, in seconds."""
        incarnation = run.replica.incarnation
        return tolerated_silence_s(
            self._runner.loads.total_at(incarnation),
            run.replica.slots,
            call.route.target_latency_s,
            self._runner.capacity.speed(incarnation),
        )

    def check(self, call: OnlineCall, progress: Progress) -> None:
        """Return if the call may be sent to a replica now, else raise.

        Raises CallerDisconnected if the caller has disconnected, Quarantined if
        the request is quarantined, what the permit raises, and at the
        deadline DeadlineExceeded, or Overloaded if the request has not
        run.
        """
        if call.caller.disconnected:
            raise CallerDisconnected
        self._runner.suspects.check(
            call.req.fingerprint, call.req.parts, call.req.id
        )
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
