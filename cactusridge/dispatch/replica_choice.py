"""Chooses the replicas to which online requests are sent."""

import random
from collections.abc import Mapping, Sequence, Set

from cactusridge.clock import Clock
from cactusridge.dispatch.expectation import Expectation
from cactusridge.dispatch.online_call import OnlineCall, Progress
from cactusridge.dispatch.placement import (
    Choice,
    expected_wait_s,
    select_candidates,
)
from cactusridge.dispatch.policies import DispatchPolicies
from cactusridge.dispatch.retries import NO_REPLICA_RETRY_S
from cactusridge.dispatch.retry_after import Refusal
from cactusridge.dispatch.run import Runner
from cactusridge.dispatch.service_draw import draw_service
from cactusridge.dispatch.spare_slots import has_spare_slot
from cactusridge.dispatch.wait_too_long import WaitEstimate, WaitTooLong
from cactusridge.errors import NoReplica
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.fleet.stream_origin import StreamOrigin
from cactusridge.peers.cells import Cells


class ReplicaChoice:
    """Chooses a replica for each attempt of an online call."""

    def __init__(
        self,
        fleet: FleetView,
        cells: Cells,
        runner: Runner,
        zone: str,
        clock: Clock,
        policies: DispatchPolicies,
    ) -> None:
        """Choose replicas from ``fleet`` for an entry in ``zone``."""
        self._fleet = fleet
        self._cells = cells
        self._runner = runner
        self._zone = zone
        self._clock = clock
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

    def choose_other(
        self,
        call: OnlineCall,
        progress: Progress,
        current: Replica,
        may_stay: bool,
    ) -> Replica:
        """Return a replica other than ``current``, untried if possible.

        A tried one may have restarted at another version under its id, so a
        stream bound to a version does not return there, nor does a request
        that a replica has rejected. If there is no other one and ``may_stay``
        is set, ``current`` is returned while it is ready. Raises NoReplica if
        no replica may be chosen, and Overloaded if the expected wait at the
        best one is too long.
        """
        service = progress.service
        if progress.origin is not None:
            service = progress.origin.service
        service = service or draw_service(call.route, self._rng)
        ready = self._ready(service, progress.origin)
        fresh = set(ready) - set(progress.tried)
        is_bound = progress.origin is not None and progress.origin.version
        if not (is_bound or progress.rejections):
            fresh = fresh or set(ready) - {current.incarnation}
        if may_stay and not fresh:
            fresh = {current.incarnation} & set(ready)
        best = self._best_among(service, ready, fresh)
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

    def expect(self, choice: Choice) -> Expectation:
        """Return what is expected of a request that is sent to ``choice``."""
        slot_s = self._runner.capacity.queued_slot_s(choice.replica)
        wait_s = expected_wait_s(choice, slot_s)
        return Expectation(choice.queue, slot_s, wait_s, choice.speed)

    def _ready(
        self, service: str, origin: StreamOrigin | None = None
    ) -> dict[str, Replica]:
        """Return the ready replicas of a service, by incarnation.

        Streams of ``origin`` may go on at each of them.
        """
        return {
            replica.incarnation: replica
            for replica in self._fleet.ready(service)
            if origin is None or self._fleet.may_continue(origin, replica)
        }

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
        ready = self._ready(service)
        fresh = set(ready) - set(tried) or set(ready)
        return self._best_among(service, ready, fresh)

    def _best_of_origin(
        self, origin: StreamOrigin, tried: Sequence[str]
    ) -> Choice:
        """Return the best replica at which a stream of ``origin`` may go on.

        A replica in ``tried`` may have restarted at another version under its
        id. Raises NoReplica if there is no other one.
        """
        ready = self._ready(origin.service, origin)
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
        expected = self.expect(best)
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
