"""Detects whether replicas with interrupted runs have crashed."""

from typing import NamedTuple

import gevent

from cactusridge.clock import Clock
from cactusridge.dispatch.upstream import Upstream
from cactusridge.fleet.replica import Replica
from cactusridge.quarantine.crash_evidence import CrashEvidence
from cactusridge.quarantine.strike import Stage
from cactusridge.sound_silence import MAX_SOUND_SILENCE_S

# Delay in seconds from a broken connection to the probe of its replica.
# A process that ends closes its connections one by one, not all at once.
BROKEN_PROBE_DELAY_S = 0.01
# Delay in seconds from an abandoned run to the probe of its replica, which
# may be about to crash at that time.
ABANDONED_PROBE_DELAY_S = 0.2
# Seconds since the last bytes of a replica after which a connection to it that
# cannot be established is taken as a sign of its crash.
RESERVE_S = 0.2
UNREACHABLE_S = MAX_SOUND_SILENCE_S + RESERVE_S


class InterruptedRun(NamedTuple):
    """The fingerprint of a request, and how far its run had progressed.

    ``parts`` are the suspected parts of its prompt, none if it brought output.
    ``part_stage`` is Stage.started if the replica had begun to answer.
    ``heard_at`` is the monotonic time in seconds at which the replica has sent
    something, or at which the request was sent.
    """

    fingerprint: str
    stage: Stage
    parts: tuple[str, ...] = ()
    part_stage: Stage = Stage.queued
    heard_at: float = 0


class CrashWatch:
    """Records runs that were interrupted because their replica crashed.

    A broken connection or a silent replica is no proof of a crash, so the
    replica is probed. If the same incarnation is still reachable at its
    address, it has not crashed.
    """

    def __init__(
        self, upstream: Upstream, suspects: CrashEvidence, clock: Clock
    ) -> None:
        """Probe through ``upstream`` and report crashes to ``suspects``."""
        self._clock = clock
        self._upstream = upstream
        self._suspects = suspects
        self._broken: dict[str, list[InterruptedRun]] = {}

    def connection_broken(self, replica: Replica, run: InterruptedRun) -> None:
        """Check the replica of a run whose connection broke."""
        self._probe_later(BROKEN_PROBE_DELAY_S, replica, run)

    def run_abandoned(self, replica: Replica, run: InterruptedRun) -> None:
        """Check the replica of a run abandoned because nothing arrived.

        A replica whose host has failed does not close its connections.
        """
        self._probe_later(ABANDONED_PROBE_DELAY_S, replica, run)

    def _probe_later(
        self,
        pause_s: float,
        replica: Replica,
        run: InterruptedRun,
    ) -> None:
        """Schedule one probe for all runs interrupted at the same time."""
        broken = self._broken.setdefault(replica.incarnation, [])
        broken.append(run)
        if len(broken) == 1:
            gevent.spawn_later(pause_s, self._probe, replica)

    def _probe(self, replica: Replica) -> None:
        broken = self._broken.pop(replica.incarnation)
        heard_at = max(run.heard_at for run in broken)
        connect_s = heard_at + UNREACHABLE_S - self._clock.monotonic()
        if self._upstream.is_running(replica, connect_s):
            return
        for run in broken:
            self._suspects.crashed(
                run.fingerprint, replica.incarnation, run.stage
            )
            self._suspects.crashed_without_output(
                run.fingerprint, replica.incarnation, run.part_stage, run.parts
            )
