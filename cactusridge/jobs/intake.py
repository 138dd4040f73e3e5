"""Whether this entry can take a new job now, and what to say if not.

Answers outages of the store for one entry or for all: a job can be
accepted only once it is stored, and a submission that waits for a store
that is known to be lost uses up the time in which another entry could
have taken it.
"""

from collections.abc import Callable

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import StoreUnavailable

# A peer's word that it has the store holds for three of its repeats, in
# seconds.
WORD_AGE_S = 1.6
# Another entry has the store: a new connection most likely reaches one.
ELSEWHERE_RETRY_S = 0.05
# No peer has it either: an outage for all seldom ends sooner, and callers
# with a few seconds left still wait it out.
LOST_RETRY_S = 1.0


class Intake:
    """Refuses jobs while the store is lost, without asking it."""

    def __init__(self, store_lost: Callable[[], bool], clock: Clock) -> None:
        """``store_lost`` tells whether the store has stopped answering."""
        self._store_lost = store_lost
        self._clock = clock
        self._heard_at: float | None = None

    def heard(self, has_store: bool) -> None:
        """Take a peer's word on whether the store answers it."""
        if has_store:
            self._heard_at = self._clock.monotonic()

    def check(self, job_id: str) -> None:
        """Return if the job may be tried; raise StoreUnavailable."""
        if not self._store_lost():
            return
        elsewhere = self.better_elsewhere()
        retry_s = ELSEWHERE_RETRY_S if elsewhere else LOST_RETRY_S
        logs.emit(
            events.JOB_REFUSED,
            job=job_id,
            store_lost=True,
            peer_has_store=elsewhere,
            retry_after_s=retry_s,
        )
        raise StoreUnavailable('the store is lost', retry_after_s=retry_s)

    def better_elsewhere(self) -> bool:
        """Tell whether a peer can take the jobs that this entry cannot.

        While this holds new callers are better sent to another entry:
        with a third of eight entries turned away by the store, a caller
        who tries twice meets two of them once in eight times.
        """
        if self._heard_at is None or not self._store_lost():
            return False
        return self._clock.monotonic() - self._heard_at < WORD_AGE_S
