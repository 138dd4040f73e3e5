"""Tracks since when the store has answered without an outage.

On a single watch three events look alike: the store was unavailable to all
processes, it was unreachable from this process alone, or one connection
stopped receiving data. The last is no outage, because other calls to the
store are answered in the meantime. The first two are distinguished by the
peers' reports of their own contact with the store.
"""

from cactusridge.clock import Clock

# Seconds without an answer on any connection to the store after which an
# outage is assumed: the store answers a watch within 1.5 s; 0.5 s is a
# margin. Rows of the replica list expire only after a longer time.
OUTAGE_S = 2.0
# Seconds after an answer for which the store counts as responding. An entry
# calls it every second to renew its row; 0.3 s is a margin.
RECENT_S = 1.3


class StoreContact:
    """Records answers and outages of the store; times are in clock seconds."""

    def __init__(self, clock: Clock) -> None:
        """Start with no answer; the first outage is timed from now on."""
        # The number of outages that have ended, including one that
        # lasted from the start of the process.
        self.outages = 0
        # The time of the first answer, or of the first answer after the
        # last outage.
        self.since = float('inf')
        self._clock = clock
        self._last_answer_at = clock.monotonic()

    def record_reply(self) -> None:
        """Record an answer of the store, which may end an outage."""
        now = self._clock.monotonic()
        if now - self._last_answer_at > OUTAGE_S:
            self.outages += 1
            self.since = now
        self.since = min(self.since, now)
        self._last_answer_at = now

    def is_recent(self) -> bool:
        """Return whether the store has answered within ``RECENT_S``.

        That no call has failed is not enough: a process that has just started
        or left the membership list may make none for seconds.
        """
        if self.since == float('inf'):
            return False
        return self._clock.monotonic() - self._last_answer_at <= RECENT_S

    def uptime_s(self) -> float:
        """Return the seconds since the last outage ended; 0 during one."""
        now = self._clock.monotonic()
        if now - self._last_answer_at > OUTAGE_S:
            return 0
        return max(0, now - self.since)
