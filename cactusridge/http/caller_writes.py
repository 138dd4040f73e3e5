"""Bounds what a server holds for callers that do not read their replies."""

import socket
from typing import NamedTuple

from cactusridge import events, logs, metrics
from cactusridge.http.blocked_write import BlockedWrite, send_now
from cactusridge.http.unpaused_time import unpaused_clock

# Seconds after which a caller that receives nothing is disconnected. A caller
# that reads slowly but steadily shows progress only in steps of a segment, up
# to 64 KB on loopback: those that read 6.4 KB/s and more are served.
STALL_LIMIT_S = 10.0
# Limit of the bytes held for all callers together. A part of a stream has the
# events of one read, at most 64 KB or a single event, so that a thousand
# streams stay below it.
MAX_UNSENT_BYTES = 67_108_864


class WriteLimits(NamedTuple):
    """How long and with how many bytes callers may block writes.

    ``stall_s`` is the time without progress of one caller, in seconds, and
    ``unsent_bytes`` is for all callers together.
    """

    stall_s: float = STALL_LIMIT_S
    unsent_bytes: int = MAX_UNSENT_BYTES


class CallerWrites:
    """Writes replies; disconnects callers that block writes for too long."""

    def __init__(self, limits: WriteLimits) -> None:
        """Start without blocked writes."""
        self.limits = limits
        self._blocked: list[BlockedWrite] = []

    @property
    def unsent(self) -> int:
        """The bytes that this process holds for callers that do not read."""
        return sum(each.unsent for each in self._blocked if not each.dropped)

    def send(self, sock: socket.socket, chunk: bytes, request: str) -> None:
        """Send ``chunk`` to the caller of ``request``.

        Raises OSError if the connection breaks, also if it is dropped here.
        """
        left = memoryview(chunk)
        left = left[send_now(sock, left) :]
        if not left:
            return
        clock = unpaused_clock()
        clock.hold()
        write = BlockedWrite(sock, left, request, clock)
        self._blocked.append(write)
        try:
            self._finish(write)
        finally:
            self._blocked.remove(write)
            clock.release()

    def _finish(self, write: BlockedWrite) -> None:
        while self.unsent > self.limits.unsent_bytes:
            self._drop_slowest()
        while write.unsent:
            write.advance()
            if write.stalled_s() >= self.limits.stall_s:
                self._drop(write, 'stalled')

    def _drop_slowest(self) -> None:
        writes = (each for each in self._blocked if not each.dropped)
        slowest = min(writes, key=lambda each: each.progress_at)
        self._drop(slowest, 'memory')

    def _drop(self, write: BlockedWrite, cause: str) -> None:
        if write.dropped:
            return
        metrics.SLOW_CALLERS_DROPPED.inc({'cause': cause})
        logs.emit(
            events.SLOW_CALLER_DROPPED,
            request=write.request,
            cause=cause,
            stalled_s=round(write.stalled_s(), 3),
            unsent=write.unsent,
            queued=write.queued,
            unsent_of_all=self.unsent,
        )
        write.drop()
