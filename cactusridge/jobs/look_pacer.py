"""When the batch scheduler looks for items to start or to end."""

import gevent
from gevent.event import Event

from cactusridge.clock import Clock
from cactusridge.peers.cells import Cells

# With nothing else to wake it the scheduler looks this often: a peer's
# silence or a replica's recovery frees slots without a word.
TICK_S = 0.1
# Without any item to run there is nothing that could be overlooked.
IDLE_TICK_S = 2.0
# In a large fleet it looks at most this often, in seconds, and not at each
# datagram of its many peers.
LOOK_EVERY_S = 0.02


class LookPacer:
    """Waits until a look is due."""

    def __init__(self, clock: Clock, cells: Cells) -> None:
        """Pace where there are several ``cells``."""
        self.wake = Event()
        self._clock = clock
        self._cells = cells
        self._looked_at = float(0)

    def wait(self, busy: bool) -> None:
        """Return when something has changed, or after a while.

        In a large fleet further changes may come before the look.
        """
        self.wake.wait(TICK_S if busy else IDLE_TICK_S)
        due_s = self._looked_at + LOOK_EVERY_S - self._clock.monotonic()
        if due_s > 0 and self._cells.several:
            gevent.sleep(due_s)
        self._looked_at = self._clock.monotonic()
        self.wake.clear()
