"""What a run at a sidecar says of the request, if its upstream ends."""

from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.orders import WorkClass
from cactusridge.quarantine.strike import Stage
from cactusridge.quarantine.suspects import Suspects
from cactusridge.sidecar_dispatch.attempt import RunListener
from cactusridge.sidecar_dispatch.dispatch import Dispatch
from cactusridge.sidecar_dispatch.replica import Replica

# Runs that break off at a replica within this time, in seconds, do so by
# the same crash.
SAME_CRASH_S = 1.0


class CrashName(NamedTuple):
    """The name of a crash and when it was first noticed."""

    name: str
    noticed_at: float


class CrashNames:
    """Names crashes of upstreams, whose lives sidecars do not tell.

    A request may run several times at a replica; one crash counts once.
    """

    def __init__(self, clock: Clock) -> None:
        """Know no crash."""
        self._clock = clock
        self._last: dict[str, CrashName] = {}

    def name(self, replica_key: str) -> str:
        """Return the name of the crash that has just been noticed.

        Entries that notice it at the same time mostly name it alike.
        """
        now = self._clock.wall()
        last = self._last.get(replica_key)
        if last is None or now - last.noticed_at >= SAME_CRASH_S:
            last = CrashName(f'{replica_key}#{int(now)}', now)
            self._last[replica_key] = last
        return last.name


class SuspectRun(RunListener):
    """One run of a request at a replica."""

    def __init__(
        self,
        dispatch: Dispatch,
        replica: Replica,
        suspects: Suspects,
        crashes: CrashNames,
    ) -> None:
        """Tell ``suspects`` how the run of ``dispatch`` ends."""
        self._dispatch = dispatch
        self._replica = replica
        self._suspects = suspects
        self._crashes = crashes

    def survived(self) -> None:
        """Note that the upstream has run the request to its end."""
        self._suspects.survived(self._dispatch.fingerprint())

    def crashed(self, has_output: bool) -> None:
        """Note that the upstream ended while it had the request."""
        self._suspects.crashed(
            self._dispatch.fingerprint(),
            self._crashes.name(self._replica.key),
            self._stage(has_output),
        )

    def _stage(self, has_output: bool) -> Stage:
        if self._dispatch.work == WorkClass.batch:
            # Its output stays at the sidecar until it is whole.
            return Stage.queued
        return Stage.answering if has_output else Stage.begun
