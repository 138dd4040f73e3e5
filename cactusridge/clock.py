"""Time sources; every decision takes one as an argument."""

import abc
import time


class Clock(abc.ABC):
    """A source of time in seconds."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never go back; for lengths of time."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return Unix time in seconds; for display and due times."""


class SystemClock(Clock):
    """The clock of this host."""

    def monotonic(self) -> float:
        """Return the monotonic clock of this host, in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the Unix time of this host, in seconds."""
        return time.time()


class BootClock(Clock):
    """A clock that goes on while the host is suspended.

    Deadlines and leases are over when others say so, also for a process
    that stood still meanwhile.
    """

    def monotonic(self) -> float:
        """Return the seconds since the host was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return the Unix time of this host, in seconds."""
        return time.time()


class AwakeClock(Clock):
    """A clock that stands still while its process is paused.

    Nothing can be said of others for the time this process itself did
    not run: a host is not silent for not having been listened to. It
    has to be read at least once in ``max_step_s`` seconds; a longer
    step is taken for a pause. Leases and deadlines never use it.
    """

    def __init__(self, source: Clock, max_step_s: float) -> None:
        """Follow ``source`` by steps of at most ``max_step_s`` seconds."""
        self._source = source
        self._max_step_s = max_step_s
        self._read_at = source.monotonic()
        self._now = self._read_at

    def monotonic(self) -> float:
        """Return the seconds the process has been awake, from any start."""
        read_at = self._source.monotonic()
        self._now += min(read_at - self._read_at, self._max_step_s)
        self._read_at = read_at
        return self._now

    def wall(self) -> float:
        """Return Unix time, which no pause stops."""
        return self._source.wall()


class ManualClock(Clock):
    """A clock that moves only when told to; for replays and tests."""

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
        """Move forward by ``seconds``."""
        self.now += seconds
