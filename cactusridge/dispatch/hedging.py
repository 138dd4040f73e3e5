"""Hedges requests whose replica is silent by a second run elsewhere.

OnlineDispatcher and Streams wait here for replicas. Each wait is a HedgedWait,
which asks hedge_race.decide which of two runs goes on.
"""

from cactusridge.clock import Clock
from cactusridge.dispatch.attempts import Attempts
from cactusridge.dispatch.awaited import Awaited, AwaitedHead
from cactusridge.dispatch.hedged_wait import Found, HedgedWait
from cactusridge.dispatch.online_log import OnlineLog
from cactusridge.dispatch.run import Run, is_success
from cactusridge.dispatch.upstream import UpstreamHead
from cactusridge.errors import UpstreamFailed


class Hedging:
    """Waits for replicas and offers the requests of silent ones to others."""

    def __init__(
        self, attempts: Attempts, clock: Clock, log: OnlineLog
    ) -> None:
        """Send second runs with ``attempts``."""
        self._attempts = attempts
        self._clock = clock
        self._log = log

    def head(self, awaited: AwaitedHead) -> tuple[Run, UpstreamHead]:
        """Return the run that answers, and the head of its answer.

        The run is closed if an error is raised; see ``wait``.
        """
        while True:
            try:
                found = self.wait(awaited)
            except BaseException:
                awaited.run.close()
                raise
            head = found.head or found.received
            if isinstance(head, UpstreamHead):
                return found.run, head
            awaited = awaited.head_at(found.run)

    def success(self, awaited: AwaitedHead) -> Run:
        """Return a run that answers with a success, after its head.

        Raises UpstreamFailed if the status is another one; see ``head``.
        """
        run, head = self.head(awaited)
        if is_success(head.status):
            return run
        run.close()
        raise UpstreamFailed(f'{run.replica.id} answered {head.status}')

    def wait(self, awaited: Awaited) -> Found:
        """Return the run that goes on, and what it has brought.

        Raises what the awaited run raises, and at the deadline UpstreamSilent
        or DeadlineExceeded. The awaited run stays open then.
        """
        return HedgedWait(
            awaited, self._attempts, self._clock, self._log
        ).found()
