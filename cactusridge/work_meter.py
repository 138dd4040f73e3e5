"""Processor time of this process by part of its work.

Every greenlet belongs to a part. The meter is called at each switch
between greenlets and books the time since the last one on the part that
ran.
"""

import enum
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import gevent
import greenlet


class Part(enum.StrEnum):
    """A part of the work of a process."""

    # gevent's loop: waiting, timers, callbacks.
    loop = 'loop'
    # Connections of callers, from reading a request to its last byte.
    calls = 'calls'
    # The internal servers: readiness, metrics, catalogues for peers.
    inner_calls = 'inner_calls'
    caller_watch = 'caller_watch'
    peers_heard = 'peers_heard'
    peers_told = 'peers_told'
    feeds = 'feeds'
    session = 'session'
    scheduler = 'scheduler'
    claims = 'claims'
    items = 'items'
    # Taking, checking and ending jobs, and the look for orphans.
    jobs = 'jobs'
    log = 'log'
    other = 'other'


class Work:
    """Processor seconds of a part, and how often it was switched to."""

    __slots__ = ('seconds', 'turns')

    def __init__(self) -> None:
        """Start with none."""
        self.seconds = float(0)
        self.turns = 0


class PartGreenlet(gevent.Greenlet):
    """A greenlet that belongs to a part."""

    part = Part.other.value


class CallGreenlet(PartGreenlet):
    """Serves a connection of a caller."""

    part = Part.calls.value


class InnerCallGreenlet(PartGreenlet):
    """Serves a connection from within the deployment."""

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
    """Books processor time on parts; counts steps of the work."""

    def __init__(self, clock: Callable[[], float] = time.thread_time) -> None:
        """Go by ``clock``, the processor seconds of this thread."""
        self.parts = {part.value: Work() for part in Part}
        # How often something was done; docs/METRICS.md lists the steps.
        self.steps: Counter[str] = Counter()
        self._other = self.parts[Part.other]
        self._clock = clock
        self._since = clock()
        self._hub: object = None

    def start(self) -> None:
        """Measure this thread from now on."""
        self._hub = gevent.get_hub()
        self._since = self._clock()
        greenlet.settrace(self._switched)

    def stop(self) -> None:
        """Measure no longer."""
        greenlet.settrace(None)

    def _switched(self, _: str, args: tuple[object, object]) -> None:
        origin, target = args
        now = self._clock()
        self._work(origin).seconds += now - self._since
        self._work(target).turns += 1
        self._since = now

    def _work(self, one: object) -> Work:
        if one is self._hub:
            return self.parts['loop']
        part = getattr(one, 'part', None)
        return self._other if part is None else self.parts[part]


# The meter of this process.
METER = WorkMeter()
