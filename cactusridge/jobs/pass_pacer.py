"""Decides when the batch scheduler runs its next scheduling pass."""

import gevent
from gevent.event import Event

from cactusridge.clock import Clock
from cactusridge.peers.cells import Cells

# Maximum time between two scheduling passes, in seconds, while jobs are
# held. A peer that times out or a replica that recovers frees slots without
# any message that would wake the scheduler.
BUSY_INTERVAL_S = 0.1
# Maximum time between two scheduling passes, in seconds, while no job is held
# and no item is in flight, so that no free slot can be missed.
IDLE_INTERVAL_S = 2.0
# Minimum time between two scheduling passes, in seconds, in a fleet of
# several cells, where the datagrams of many peers would each cause a pass.
MIN_PASS_INTERVAL_S = 0.02


class PassPacer:
    """Waits until the next scheduling pass is due."""

    def __init__(self, clock: Clock, cells: Cells) -> None:
        """Limit the rate of passes while ``cells`` has more than one cell."""
        self.wake = Event()
        self._clock = clock
        self._cells = cells
        self._last_pass_at = float(0)

    def wait(self, busy: bool) -> None:
        """Wait until ``wake`` is set or the poll interval has passed.

        The interval is shorter if ``busy``. In a fleet of several cells
        the call waits longer to keep the minimum time between two passes,
        so that one pass covers all changes up to then.
        """
        self.wake.wait(BUSY_INTERVAL_S if busy else IDLE_INTERVAL_S)
        delay_s = (
            self._last_pass_at + MIN_PASS_INTERVAL_S - self._clock.monotonic()
        )
        if delay_s > 0 and self._cells.has_several_cells:
            gevent.sleep(delay_s)
        self._last_pass_at = self._clock.monotonic()
        self.wake.clear()
