"""Slows streams whose events follow each other without a pause."""

import gevent
from gevent.lock import BoundedSemaphore

# Events in one read from which a stream is slowed. Each costs processor time,
# so that a few such streams would keep other requests waiting.
MANY_EVENTS = 1024
PAUSE_S = 0.1


class EventFloods:
    """Lets one stream at a time go on after many events at once."""

    def __init__(self) -> None:
        """Begin without such a stream."""
        self._turn = BoundedSemaphore(1)

    def pause(self, count: int) -> None:
        """Wait if a read has brought ``count`` events and that is many."""
        if count < MANY_EVENTS:
            return
        with self._turn:
            gevent.sleep(PAUSE_S)
