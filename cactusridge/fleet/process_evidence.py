"""Knows which connections lead to the processes that the list names.

A process may start again under its id, at another software version, while this
entry reads no list. Nothing in its answers shows that.
"""

from collections import deque

from cactusridge.clock import Clock
from cactusridge.fleet.incarnation_listener import IncarnationListener

# Seconds since the last answer about the list for which a new connection is
# taken to lead to a listed process: the store answers a watch within 1.5 s.
CURRENT_S = 1.8
# Seconds after the end of a connection in which a process that has started
# again may not have written its entry yet.
SETTLE_S = 2.5
NEVER = float('-inf')
# Number of replaced incarnations that are remembered.
MAX_REPLACED = 1024


class ProcessEvidence(IncarnationListener):
    """What lists, connections and the processes themselves have shown.

    Processes are given by the incarnations that the list names.
    """

    def __init__(self, clock: Clock) -> None:
        """Begin without a list; times are in seconds of ``clock``."""
        self._clock = clock
        self._listed_at = NEVER
        self._confirmed_at: dict[str, float] = {}
        # When a connection to an incarnation has last ended.
        self._ended_at: dict[str, float] = {}
        # Incarnations in whose place the list names newer ones.
        self._replaced: deque[str] = deque(maxlen=MAX_REPLACED)

    def record_list(self) -> None:
        """Record that the list has been read and is current."""
        self._listed_at = self._clock.monotonic()

    def record_end(self, incarnation: str) -> None:
        """Record that a connection has ended, as at the end of a process."""
        self._ended_at[incarnation] = self._clock.monotonic()

    def record_confirmed(self, incarnation: str, at: float) -> None:
        """Record that the process itself has stated its start ``at`` a time."""
        self._confirmed_at[incarnation] = at

    def incarnation_ended(self, incarnation: str) -> None:
        """Record that the list names a newer incarnation.

        A connection to the older one may lead to that already.
        """
        self._confirmed_at.pop(incarnation, None)
        self._ended_at.pop(incarnation, None)
        self._replaced.append(incarnation)

    def is_certain(self, incarnation: str, connected_at: float) -> bool:
        """Return whether an open connection leads to ``incarnation``.

        ``connected_at`` is when it was established. A connection that was
        open when the list was read has not ended with an earlier process.
        """
        if incarnation in self._replaced:
            return False
        if connected_at <= self._confirmed_at.get(incarnation, NEVER):
            return True
        ended_at = self._ended_at.get(incarnation, NEVER)
        if ended_at < connected_at and self._listed_at < ended_at + SETTLE_S:
            return False
        if connected_at <= self._listed_at:
            return True
        return self._clock.monotonic() - self._listed_at <= CURRENT_S
