"""Knows which connections lead to the processes that the list names.

A process may start again under its id, at another software version, while this
entry reads no list. Nothing in its answers shows that.
"""

from cactusridge.clock import Clock

# Seconds since the last answer about the list for which a new connection is
# taken to lead to a listed process: the store answers a watch within 1.5 s.
CURRENT_S = 1.8


class ProcessEvidence:
    """What lists, connections and the processes themselves have shown.

    Processes are given by the incarnations that the list names.
    """

    def __init__(self, clock: Clock) -> None:
        """Begin without a list; times are in seconds of ``clock``."""
        self._clock = clock
        self._listed_at = float('-inf')
        self._confirmed_at: dict[str, float] = {}
        # Incarnations whose connections have ended since the last list.
        self._suspects: set[str] = set()

    def record_list(self) -> None:
        """Record that the list has been read and is current."""
        self._listed_at = self._clock.monotonic()
        self._confirmed_at.clear()
        self._suspects.clear()

    def record_end(self, incarnation: str) -> None:
        """Record that a connection has ended, as at the end of a process."""
        self._suspects.add(incarnation)

    def record_confirmed(self, incarnation: str, at: float) -> None:
        """Record that the process itself has stated its start ``at`` a time."""
        self._confirmed_at[incarnation] = at

    def is_certain(self, incarnation: str, connected_at: float) -> bool:
        """Return whether an open connection leads to ``incarnation``.

        ``connected_at`` is when it was established. A connection that was
        open when the list was read has not ended with an earlier process.
        """
        known_at = self._confirmed_at.get(incarnation, self._listed_at)
        if connected_at <= max(known_at, self._listed_at):
            return True
        if incarnation in self._suspects:
            return False
        return self._clock.monotonic() - self._listed_at <= CURRENT_S
