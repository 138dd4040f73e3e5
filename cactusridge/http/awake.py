"""How long this process has listened, and time-outs that go by it.

A process that is late (frozen host, stalled processor, long work between
two turns of its loop) has not listened meanwhile. Nothing can be said of
others for that time, so whoever waits for another process measures the
wait with a ``PatientTimeout``. Deadlines and leases never do: they are
over when others say so.
"""

import time
import weakref
from typing import Any

import gevent
from gevent.hub import Hub

from cactusridge import events, logs
from cactusridge.clock import AwakeClock, Clock, SystemClock

# While anyone waits the clock goes on by ticks of so many seconds.
TICK_S = 0.02
# What counts of a tick at most, in seconds: the tick and what a loop that
# keeps up is late by. The rest is a pause. So a silence of 0.5 s is at
# least 20 times that all greenlets which could go on have done so.
MAX_STEP_S = 0.025
# A pause of at least so many seconds is logged: half the shortest silence
# that counts against anyone.
LOGGED_PAUSE_S = 0.25
# Below input and output, as with the library's own: what has come in the
# same turn goes first.
PRIORITY = -1


class ListeningClock(Clock):
    """Counts the seconds in which the loop of a thread kept up.

    A tick is over when its time is over and what was ready to run has
    run, which in a loop with much to do takes many turns. The clock ticks
    only while somebody waits; who reads it now and then has to ``hold``
    it in between.
    """

    def __init__(self, hub: Hub) -> None:
        """Follow the loop of ``hub``."""
        self._awake = AwakeClock(SystemClock(), MAX_STEP_S)
        self._loop = hub.loop
        # One without a repeat would be due at once when started again.
        self._timer = hub.loop.timer(
            TICK_S, TICK_S, ref=False, priority=PRIORITY
        )
        self._holders = 0
        self._ticks = False
        self._counted = float(0)
        self._ticked_at = float(0)
        self._count()

    def monotonic(self) -> float:
        """Return the seconds listened, from any start."""
        since_s = time.monotonic() - self._ticked_at
        return self._counted + min(since_s, MAX_STEP_S)

    def wall(self) -> float:
        """Return Unix time, which no pause stops."""
        return self._awake.wall()

    def hold(self) -> None:
        """Tick until there have been as many calls of ``release``."""
        self._holders += 1
        if not self._ticks:
            self._ticks = True
            self._count()
            self._timer.again(self._due, update=True)

    def release(self) -> None:
        """Let the clock rest unless somebody else holds it."""
        self._holders -= 1

    def _due(self) -> None:
        """Tick when all that is ready now has run."""
        self._timer.stop()
        self._loop.run_callback(self._tick)

    def _tick(self) -> None:
        late_s = time.monotonic() - self._ticked_at - TICK_S
        self._count()
        if self._holders:
            self._timer.again(self._due, update=True)
        if late_s >= LOGGED_PAUSE_S:
            logs.emit(events.LOOP_LATE, late_s=round(late_s, 3))
        # Not stopped at each release: the next wait often begins at once.
        self._ticks = self._holders > 0

    def _count(self) -> None:
        self._ticked_at = time.monotonic()
        self._counted = self._awake.monotonic()


_clocks: weakref.WeakKeyDictionary[Hub, ListeningClock] = (
    weakref.WeakKeyDictionary()
)


def listening_clock() -> ListeningClock:
    """Return the clock of this thread's loop."""
    hub = gevent.get_hub()
    clock = _clocks.get(hub)
    if clock is None:
        clock = _clocks.setdefault(hub, ListeningClock(hub))
    return clock


class PatientTimeout(gevent.Timeout):
    """A time-out over when nothing came in ``seconds`` of listening.

    None as ``seconds`` never ends.
    """

    def __init__(self, seconds: float | None, exception: Any = None) -> None:
        """Raise ``exception``, or itself, as ``gevent.Timeout`` does."""
        super().__init__(seconds, exception, priority=PRIORITY)
        self._clock = listening_clock()
        self._began_at = float(0)
        self._until = float(0)
        self._holds = False

    def start(self) -> None:
        """Begin to wait, in this greenlet."""
        super().start()
        if self.seconds is None:
            return
        self._clock.hold()
        self._holds = True
        self._began_at = time.monotonic()
        self._until = self._clock.monotonic() + self.seconds

    def cancel(self) -> None:
        """Stop waiting."""
        super().cancel()
        self._let_go()

    def close(self) -> None:
        """Stop waiting for good."""
        super().close()
        self._let_go()

    def described(self, awaited: str) -> str:
        """Return what was ``awaited`` and for how long, by both clocks."""
        took_s = time.monotonic() - self._began_at
        return (
            f'{awaited}: nothing in {self.seconds} s of listening,'
            f' {took_s:.3f} s by the clock'
        )

    def _let_go(self) -> None:
        if self._holds:
            self._holds = False
            self._clock.release()

    def _on_expiration(self, prev_greenlet: Any, ex: Any) -> None:
        left_s = self._until - self._clock.monotonic()
        if left_s <= 0:
            super()._on_expiration(prev_greenlet, ex)
            return
        loop = gevent.get_hub().loop
        self.timer.close()
        self.timer = loop.timer(left_s, priority=PRIORITY)
        self.timer.start(self._on_expiration, prev_greenlet, ex, update=True)
