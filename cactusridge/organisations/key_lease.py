"""Until when an entry may go by the keys that it knows.

A key that was taken away opens nothing any more after a bounded time, at
no entry, whether it can reach the store or not. So what an entry knows of
keys is a lease, renewed by each read of the store, its own or a peer's, and
as old as that.
"""

from cactusridge.clock import Clock
from cactusridge.store.table_follower import REREAD_S

# The lease ends this much sooner, in seconds: clocks run unevenly, and a
# request is sent on a moment after it was looked at.
MARGIN_S = 0.2
# A watch may hear nothing for about a second while the store drops its
# history; a quiet answer vouches only for what was before that.
DEAF_S = 1.2
# How often everything is read again where keys are leased, in seconds.
LEASED_REREAD_S = 3.0


class KeyLease:
    """Knows since when the configuration is confirmed to be the newest.

    That is the moment at which a read of it was begun: what was changed
    later may be missing in it. The clock has to be one that goes on while
    the host is suspended.
    """

    def __init__(self, clock: Clock, lasts_s: float | None) -> None:
        """Hold for ``lasts_s`` seconds; None: for ever, once read."""
        self._clock = clock
        self._lasts_s = lasts_s
        self.confirmed_at: float | None = None

    @property
    def reread_s(self) -> float:
        """How often everything is to be read again, in seconds."""
        return REREAD_S if self._lasts_s is None else LEASED_REREAD_S

    def read(self, begun_at: float) -> None:
        """Note that the configuration was read from the store."""
        self._confirm(begun_at)

    def quiet(self, asked_at: float) -> None:
        """Note that a watch on the configuration was answered."""
        if self.confirmed_at is not None:
            self._confirm(asked_at - DEAF_S)

    @property
    def valid(self) -> bool:
        """Whether the keys that are known may be gone by."""
        if self.confirmed_at is None:
            return False
        if self._lasts_s is None:
            return True
        age_s = self._clock.monotonic() - self.confirmed_at
        return age_s < self._lasts_s - MARGIN_S

    @property
    def bounded(self) -> bool:
        """Whether what is known ceases to count."""
        return self._lasts_s is not None

    def older_than(self, age_s: float) -> bool:
        """Tell whether what was read once was confirmed longer ago."""
        if self.confirmed_at is None:
            return False
        return self._clock.monotonic() - self.confirmed_at > age_s

    def _confirm(self, at: float) -> None:
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at
