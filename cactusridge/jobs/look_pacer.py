"""When the batch scheduler looks for items to start or to end."""

import gevent
from gevent.event import Event

from cactusridge.clock import Clock
from cactusridge.dispatch.loads import LoadTable

# With nothing else to wake it the scheduler looks this often: a peer's
# silence or a replica's recovery frees slots without a word.
TICK_S = 0.1
# Without any item to run there is nothing that could be overlooked.
IDLE_TICK_S = 2.0
# In a large fleet, whose counts are told by turns of 0.2 s, it looks at
# most this often, in seconds. Woken by each datagram of 35 peers it made
# 100 looks a second, a quarter of the processor time of an entry's parts.
LOOK_EVERY_S = 0.02


class LookPacer:
    """Waits until a look is due."""

    def __init__(self, clock: Clock, loads: LoadTable) -> None:
        """Pace by how often ``loads`` are told."""
        self.wake = Event()
        self._clock = clock
        self._loads = loads
        self._looked_at = float(0)

    def wait(self, busy: bool) -> None:
        """Return when something has changed, or after a while.

        In a large fleet further changes may come before the look.
        """
        self.wake.wait(TICK_S if busy else IDLE_TICK_S)
        due_s = self._looked_at + LOOK_EVERY_S - self._clock.monotonic()
        if due_s > 0 and not self._loads.fresh:
            gevent.sleep(due_s)
        self._looked_at = self._clock.monotonic()
        self.wake.clear()
