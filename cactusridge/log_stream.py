"""A rate-limited log stream that never blocks its writers."""

import collections
import time

import gevent
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write

from cactusridge.work_meter import Part, spawn

# The most log lines per second that a process writes on average, and the
# most lines of a burst. A line takes about 300 bytes.
LINES_PER_S = 400
BURST_LINES = 1600
# The most queued lines while the reader of the stream does not read; further
# lines are dropped.
MAX_QUEUED_LINES = 4000
# Seconds between two checks for an empty queue in a planned stop.
POLL_S = 0.01


class LineBudget:
    """A token bucket of log lines that counts the dropped ones."""

    def __init__(self) -> None:
        """Start with a full bucket."""
        self.dropped = 0
        self._tokens = float(BURST_LINES)
        self._refilled_at = time.monotonic()

    def take(self) -> bool:
        """Take a token for a line; return False if the line is dropped."""
        now = time.monotonic()
        gained = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True


class LogStream:
    """A text stream that queues lines and never blocks its writers."""

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, in a separate greenlet."""
        self._descriptor = descriptor
        self._budget = LineBudget()
        self._queued: collections.deque[bytes] = collections.deque()
        self._wake = Event()
        make_nonblocking(descriptor)
        self._writer = spawn(Part.log, self._run)

    def write(self, text: str) -> int:
        """Queue ``text``, or drop it and count the loss."""
        if len(self._queued) >= MAX_QUEUED_LINES:
            self._budget.dropped += 1
        elif self._budget.take():
            self._queued.append(text.encode())
            self._wake.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the greenlet writes lines as soon as it can."""

    def finish(self, bound_s: float) -> None:
        """Wait until the queue is written, for at most ``bound_s`` seconds."""
        with gevent.Timeout(bound_s, False):  # noqa: WPS425
            while self._queued:
                gevent.sleep(POLL_S)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._queued:
                self._write_all(self._queued[0])
                self._queued.popleft()
            self._write_dropped()

    def _write_all(self, raw: bytes) -> None:
        while raw:
            raw = raw[nb_write(self._descriptor, raw) :]

    def _write_dropped(self) -> None:
        """Write the number of dropped lines since the last such line."""
        dropped = self._budget.dropped
        if dropped:
            self._budget.dropped = 0
            line = f'{{"event":"lines_dropped","dropped":{dropped}}}\n'
            self._write_all(line.encode())
