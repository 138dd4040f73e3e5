"""Time sources, passed as arguments to all code that depends on time."""

import abc
import time


class Clock(abc.ABC):
    """A source of time in seconds."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never decrease, to measure durations."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return Unix time in seconds, for display and due times."""


class SystemClock(Clock):
    """The clock of this host; its monotonic time stops during a suspend."""

    def monotonic(self) -> float:
        """Return the monotonic clock of this host, in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the Unix time of this host, in seconds."""
        return time.time()


class BootClock(Clock):
    """A clock that also counts the time in which the host is suspended.

    Deadlines and leases use it: other processes let them expire on time,
    also while this process is suspended.
    """

    def monotonic(self) -> float:
        """Return the seconds since the host was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the Unix time of this host, in seconds."""
        return time.time()


class UnpausedStepClock(Clock):
    """A clock that does not count the pauses of its own process.

    While this process does not run it receives nothing, so the time is no
    evidence that another host was silent. The clock has to be read at least
    every ``max_step_s`` seconds; of a longer step the rest is taken for a
    pause. Leases and deadlines never use it.
    """

    def __init__(self, source: Clock, max_step_s: float) -> None:
        """Advance with ``source``, by at most ``max_step_s`` per read."""
        self._source = source
        self._max_step_s = max_step_s
        self._read_at = source.monotonic()
        self._now = self._read_at

    def monotonic(self) -> float:
        """Return the seconds without pauses, from an arbitrary start."""
        read_at = self._source.monotonic()
        self._now += min(read_at - self._read_at, self._max_step_s)
        self._read_at = read_at
        return self._now

    def wall(self) -> float:
        """Return Unix time in seconds, which includes pauses."""
        return self._source.wall()


class ManualClock(Clock):
    """A clock that only ``advance`` changes, for simulations and tests."""

    def __init__(self, now: float = 0) -> None:
        """Start at ``now`` seconds."""
        self.now = now

    def monotonic(self) -> float:
        """Return the time set, in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the time set, in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Advance the time by ``seconds``."""
        self.now += seconds
