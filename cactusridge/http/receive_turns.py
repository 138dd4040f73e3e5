"""Lets other greenlets run while bytes arrive without a pause."""

import gevent

# A read of bytes that have already arrived does not wait, so a peer that sends
# faster than this process reads would keep the others from running.
TURN_BYTES = 262_144


class ReceiveTurns:
    """Counts the bytes received on one connection."""

    def __init__(self) -> None:
        """Begin a turn."""
        self._count = 0

    def record(self, count: int) -> None:
        """Record received bytes; lets others run after TURN_BYTES."""
        self._count += count
        if self._count >= TURN_BYTES:
            self._count = 0
            gevent.sleep(0)
