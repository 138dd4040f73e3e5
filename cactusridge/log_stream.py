"""Where log lines go: bounded, and never waited for."""

import collections
import time

import gevent
from gevent.event import Event
from gevent.os import make_nonblocking, nb_write

from cactusridge.work_meter import Part, spawn

# Lines a second that a process writes on average, and at once after a
# quiet time. A line takes about 300 bytes.
LINES_PER_S = 400
BURST_LINES = 1600
# Lines that wait for a reader that does not read; then the newest go.
MAX_WAITING = 4000
# How often the end of the queue is looked for in a planned stop.
POLL_S = 0.01


class LineBudget:
    """A token bucket of log lines that counts what it refused."""

    def __init__(self) -> None:
        """Start with a full bucket."""
        self.dropped = 0
        self._tokens = float(BURST_LINES)
        self._filled_at = time.monotonic()

    def take(self) -> bool:
        """Take a line; False when it is one too many."""
        now = time.monotonic()
        gained = (now - self._filled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            self.dropped += 1
            return False
        self._tokens -= 1
        return True


class LogStream:
    """A text stream over a descriptor that never blocks its writer."""

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor`` from a greenlet of its own."""
        self._descriptor = descriptor
        self._budget = LineBudget()
        self._waiting: collections.deque[bytes] = collections.deque()
        self._wake = Event()
        make_nonblocking(descriptor)
        self._writer = spawn(Part.log, self._run)

    def write(self, text: str) -> int:
        """Queue ``text``, or drop and count it."""
        if len(self._waiting) >= MAX_WAITING:
            self._budget.dropped += 1
        elif self._budget.take():
            self._waiting.append(text.encode())
            self._wake.set()
        return len(text)

    def flush(self) -> None:
        """Nothing to do: the greenlet writes as soon as it can."""

    def finish(self, bound_s: float) -> None:
        """Let what is queued go out, for at most ``bound_s`` seconds."""
        with gevent.Timeout(bound_s, False):  # noqa: WPS425
            while self._waiting:
                gevent.sleep(POLL_S)

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._waiting:
                self._write_all(self._waiting[0])
                self._waiting.popleft()
            self._tell_dropped()

    def _write_all(self, raw: bytes) -> None:
        while raw:
            raw = raw[nb_write(self._descriptor, raw) :]

    def _tell_dropped(self) -> None:
        """Say how many lines are missing, once there is room again."""
        dropped = self._budget.dropped
        if dropped:
            self._budget.dropped = 0
            line = f'{{"event":"lines_dropped","dropped":{dropped}}}\n'
            self._write_all(line.encode())
