"""Measures the processor time of this process by part of its work.

Every greenlet belongs to a part. At each switch between greenlets the meter
adds the processor time since the last switch to the part that was running.
"""

import enum
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import gevent
import greenlet


class Part(enum.StrEnum):
    """A part of the work of a process; the values are metric labels."""

    # gevent's event loop: waiting, timers and callbacks.
    loop = 'loop'
    # Connections of callers, from reading a request to sending the last
    # byte of its reply.
    calls = 'calls'
    # Connections to the internal servers: readiness, metrics and catalogs
    # for peers.
    inner_calls = 'inner_calls'
    caller_watch = 'caller_watch'
    peers_heard = 'peers_heard'
    peers_told = 'peers_told'
    feeds = 'feeds'
    session = 'session'
    # Starting and checking requests that wait at this entry.
    queueing = 'queueing'
    scheduler = 'scheduler'
    claims = 'claims'
    items = 'items'
    # Taking over, checking and ending jobs, and polling for orphaned jobs.
    jobs = 'jobs'
    log = 'log'
    other = 'other'


class Work:
    """The processor seconds of a part and the switches to its greenlets."""

    __slots__ = ('seconds', 'turns')

    def __init__(self) -> None:
        """Start at zero."""
        self.seconds = float(0)
        self.turns = 0


class PartGreenlet(gevent.Greenlet):
    """A greenlet that belongs to a part."""

    part = Part.other.value


class CallGreenlet(PartGreenlet):
    """A greenlet that serves a connection of a caller."""

    part = Part.calls.value


class InnerCallGreenlet(PartGreenlet):
    """A greenlet that serves a connection from within the deployment."""

    part = Part.inner_calls.value


def spawn(
    part: Part,
    function: Callable[..., object],
    *args: Any,
    **options: Any,
) -> PartGreenlet:
    """Run ``function`` in a greenlet that belongs to ``part``."""
    started = PartGreenlet(function, *args, **options)
    started.part = part.value
    started.start()
    return started


class WorkMeter:
    """Adds up processor time by part and counts steps of the work."""

    def __init__(self, clock: Callable[[], float] = time.thread_time) -> None:
        """Measure by ``clock``, which returns this thread's CPU seconds."""
        self.parts = {part.value: Work() for part in Part}
        # The number of times each step was done; docs/METRICS.md lists the
        # steps.
        self.steps: Counter[str] = Counter()
        self._other = self.parts[Part.other]
        self._clock = clock
        self._since = clock()
        self._hub: object = None

    def start(self) -> None:
        """Start measuring the current thread."""
        self._hub = gevent.get_hub()
        self._since = self._clock()
        greenlet.settrace(self._switched)

    def stop(self) -> None:
        """Stop measuring."""
        greenlet.settrace(None)

    def _switched(self, _: str, args: tuple[object, object]) -> None:
        origin, target = args
        now = self._clock()
        self._work(origin).seconds += now - self._since
        self._work(target).turns += 1
        self._since = now

    def _work(self, running: object) -> Work:
        if running is self._hub:
            return self.parts['loop']
        part = getattr(running, 'part', None)
        return self._other if part is None else self.parts[part]


# The meter of the process.
METER = WorkMeter()
