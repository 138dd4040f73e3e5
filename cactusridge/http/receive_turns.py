"""Lets other greenlets run while bytes arrive without a pause."""

import gevent

# A read of bytes that have already arrived does not wait, so a peer that sends
# faster than this process reads would keep the others from running.
TURN_BYTES = 65_536


class ReceiveTurns:
    """Counts the bytes received on one connection."""

    def __init__(self, turn_bytes: int = TURN_BYTES) -> None:
        """Let others run after each ``turn_bytes``."""
        self._turn_bytes = turn_bytes
        self._count = 0

    def record(self, count: int) -> None:
        """Record received bytes; lets others run at the end of a turn."""
        self._count += count
        if self._count >= self._turn_bytes:
            self._count = 0
            gevent.sleep(0)
