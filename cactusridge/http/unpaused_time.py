"""Timeouts that do not count the time in which this process did not run.

A process may be paused: its host is suspended, its processor is stalled, or
work in its event loop takes long. Data that arrives in the meantime is not
read, so the pause is no evidence that another process was silent. Code that
waits for another process therefore uses an ``UnpausedTimeout``. Deadlines and
leases never do, because other processes let them expire on time.
"""

import time
import weakref
from typing import Any

import gevent
from gevent.hub import Hub

from cactusridge import events, logs
from cactusridge.clock import Clock, SystemClock, UnpausedStepClock

# Seconds between two ticks of the clock; it ticks only while it is held.
TICK_S = 0.02
# The most that a tick adds to the clock, in seconds: TICK_S and the usual
# delay of a loop that keeps up. The rest of a longer tick is a pause. A
# timeout of 0.5 s thus lasts at least 20 ticks, in each of which all
# greenlets that were ready have run.
MAX_STEP_S = 0.025
# The shortest pause that is logged, in seconds: half of the shortest silence
# after which another process is considered to have failed.
MIN_LOGGED_PAUSE_S = 0.25
# The loop priority of the timers, below that of input and output as for
# gevent.Timeout: data of the same loop iteration is handled first.
PRIORITY = -1


class UnpausedClock(Clock):
    """Counts the seconds in which a thread's event loop was not paused.

    A tick ends once its time has passed and all that was ready by then has
    run, which takes many iterations of a busy loop. The clock ticks only
    while it is held: code that reads it more than once has to call ``hold``
    before the first read and ``release`` after the last.
    """

    def __init__(self, hub: Hub) -> None:
        """Measure the event loop of ``hub``."""
        self._step_clock = UnpausedStepClock(SystemClock(), MAX_STEP_S)
        self._loop = hub.loop
        # A timer without a repeat interval would fire at once when it is
        # restarted.
        self._timer = hub.loop.timer(
            TICK_S, TICK_S, ref=False, priority=PRIORITY
        )
        self._holders = 0
        self._ticking = False
        self._counted = float(0)
        self._ticked_at = float(0)
        self._count()

    def monotonic(self) -> float:
        """Return the seconds without pauses, from an arbitrary start."""
        elapsed_s = time.monotonic() - self._ticked_at
        return self._counted + min(elapsed_s, MAX_STEP_S)

    def wall(self) -> float:
        """Return Unix time in seconds, which includes pauses."""
        return self._step_clock.wall()

    def hold(self) -> None:
        """Tick until ``release`` has been called for each ``hold``."""
        self._holders += 1
        if not self._ticking:
            self._ticking = True
            self._count()
            self._timer.again(self._on_timer, update=True)

    def release(self) -> None:
        """End one ``hold``; the clock stops ticking after the last one."""
        self._holders -= 1

    def _on_timer(self) -> None:
        """Schedule the tick after all callbacks that are ready now."""
        self._timer.stop()
        self._loop.run_callback(self._tick)

    def _tick(self) -> None:
        late_s = time.monotonic() - self._ticked_at - TICK_S
        self._count()
        if self._holders:
            self._timer.again(self._on_timer, update=True)
        if late_s >= MIN_LOGGED_PAUSE_S:
            logs.emit(events.LOOP_LATE, late_s=round(late_s, 3))
        # The timer ends here and not in release(), because the next wait
        # often begins at once.
        self._ticking = self._holders > 0

    def _count(self) -> None:
        self._ticked_at = time.monotonic()
        self._counted = self._step_clock.monotonic()


_clocks: weakref.WeakKeyDictionary[Hub, UnpausedClock] = (
    weakref.WeakKeyDictionary()
)


def unpaused_clock() -> UnpausedClock:
    """Return the clock of the current thread's event loop."""
    hub = gevent.get_hub()
    clock = _clocks.get(hub)
    if clock is None:
        clock = _clocks.setdefault(hub, UnpausedClock(hub))
    return clock


class UnpausedTimeout(gevent.Timeout):
    """A timeout of ``seconds``, not counting pauses of this process.

    With None as ``seconds`` it never expires.
    """

    def __init__(self, seconds: float | None, exception: Any = None) -> None:
        """Take the arguments of ``gevent.Timeout``.

        On expiry ``exception`` is raised, by default the timeout itself.
        """
        super().__init__(seconds, exception, priority=PRIORITY)
        self._clock = unpaused_clock()
        self._started_at = float(0)
        self._expires_at = float(0)
        self._holding = False

    def start(self) -> None:
        """Start the timeout in the current greenlet."""
        super().start()
        if self.seconds is None:
            return
        self._clock.hold()
        self._holding = True
        self._started_at = time.monotonic()
        self._expires_at = self._clock.monotonic() + self.seconds

    def cancel(self) -> None:
        """Cancel the timeout; it may be started again."""
        super().cancel()
        self._release_clock()

    def close(self) -> None:
        """Cancel the timeout and free its timer."""
        super().close()
        self._release_clock()

    def timeout_message(self, awaited: str) -> str:
        """Return an error text with the time waited, without and with pauses.

        ``awaited`` names the operation, such as ``reading``.
        """
        took_s = time.monotonic() - self._started_at
        return (
            f'{awaited}: timed out after {self.seconds} s without pauses,'
            f' {took_s:.3f} s with pauses of this process'
        )

    def _release_clock(self) -> None:
        if self._holding:
            self._holding = False
            self._clock.release()

    def _on_expiration(self, prev_greenlet: Any, ex: Any) -> None:
        left_s = self._expires_at - self._clock.monotonic()
        if left_s <= 0:
            super()._on_expiration(prev_greenlet, ex)
            return
        loop = gevent.get_hub().loop
        self.timer.close()
        self.timer = loop.timer(left_s, priority=PRIORITY)
        self.timer.start(self._on_expiration, prev_greenlet, ex, update=True)
