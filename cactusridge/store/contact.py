"""Since when the store has answered this process without an outage.

Answers three events that look alike on one watch: the store was away, it
was away for this process alone, or one connection fell silent. The last
is none, since other calls were answered meanwhile; the first two are told
apart by what the peers say of theirs.
"""

from cactusridge.clock import Clock

# Silence on every connection to the store that counts as an outage, in
# seconds: a watch is answered after 1.5 s at the latest, and half a
# second. Entries of the list of replicas lapse after more than that.
AWAY_S = 2.0


class StoreContact:
    """Notes every answer of the store; times are the clock's."""

    def __init__(self, clock: Clock) -> None:
        """Know of no answer; silence counts from now on."""
        # Outages that have ended, one at the start among them.
        self.outages = 0
        # The first answer of all, or after the last outage.
        self.since = float('inf')
        self._clock = clock
        self._heard_at = clock.monotonic()

    def answered(self) -> None:
        """Note an answer, which may end an outage."""
        now = self._clock.monotonic()
        if now - self._heard_at > AWAY_S:
            self.outages += 1
            self.since = now
        self.since = min(self.since, now)
        self._heard_at = now

    def uptime_s(self) -> float:
        """Return for how long there has been no outage; 0 during one."""
        now = self._clock.monotonic()
        if now - self._heard_at > AWAY_S:
            return 0
        return max(0, now - self.since)
