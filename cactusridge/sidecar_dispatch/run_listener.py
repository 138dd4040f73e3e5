"""Reports the outcomes of runs at sidecars as evidence of crashes."""

from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.orders import WorkClass
from cactusridge.quarantine.crash_evidence import CrashEvidence
from cactusridge.quarantine.strike import Stage
from cactusridge.sidecar_dispatch.attempt import RunListener
from cactusridge.sidecar_dispatch.dispatch import Dispatch
from cactusridge.sidecar_dispatch.replica import Replica

# Runs that break off at a replica within this time, in seconds, are
# attributed to the same crash.
SAME_CRASH_S = 1.0


class CrashId(NamedTuple):
    """The id of a crash and the Unix time when it was first noticed."""

    crash_id: str
    noticed_at: float


class CrashIds:
    """Assigns ids to crashes of upstreams.

    Sidecars do not report the incarnations of their upstreams, so the ids
    stand for these. They ensure that one crash counts once against a
    request that runs several times at a replica.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with no known crashes."""
        self._clock = clock
        self._last: dict[str, CrashId] = {}

    def identify(self, replica_key: str) -> str:
        """Return the id of the crash that has just been noticed.

        Entries that notice a crash within the same second usually give it
        the same id, since the id contains the Unix time in seconds.
        """
        now = self._clock.wall()
        last = self._last.get(replica_key)
        if last is None or now - last.noticed_at >= SAME_CRASH_S:
            last = CrashId(f'{replica_key}#{int(now)}', now)
            self._last[replica_key] = last
        return last.crash_id


class CrashReporter(RunListener):
    """Reports the outcome of one run of a request to the suspects."""

    def __init__(
        self,
        dispatch: Dispatch,
        replica: Replica,
        suspects: CrashEvidence,
        crashes: CrashIds,
    ) -> None:
        """Report to ``suspects`` how the run of ``dispatch`` ends."""
        self._dispatch = dispatch
        self._replica = replica
        self._suspects = suspects
        self._crashes = crashes

    def record_completion(self) -> None:
        """Record that the upstream has run the request to completion."""
        self._suspects.record_completion(self._dispatch.fingerprint())

    def crashed(self, has_output: bool) -> None:
        """Record that the upstream process ended during the run.

        That is no evidence against a batch item, which crashes no upstream.
        """
        if self._dispatch.work == WorkClass.batch:
            return
        self._suspects.crashed(
            self._dispatch.fingerprint(),
            self._crashes.identify(self._replica.key),
            Stage.answering if has_output else Stage.started,
        )
