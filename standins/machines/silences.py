"""The silences of a simulated replica, planned or begun at once."""

import socket
import time
from collections.abc import Callable

import gevent

STEP_S = 0.01
# Seconds in which the end of a connection that the caller closed is seen.
PEEK_S = 0.01


class Silences:
    """When a replica neither sends anything nor works.

    ``planned`` has the seconds for which it falls silent before it makes the
    event of that number, or before it starts a request if the number is 0. Each
    is used once, and ``on_begin`` is called then. ``until_s`` is the monotonic
    time at which the last silence ends.
    """

    def __init__(self) -> None:
        """Start without a silence."""
        self.planned: dict[int, float] = {}
        self.on_begin: Callable[[], None] | None = None
        self.until_s = float(0)

    def begin(self, seconds: float) -> None:
        """Begin a silence of ``seconds``."""
        self.until_s = time.monotonic() + seconds

    def begin_planned(self, number: int) -> None:
        """Begin the silence that is planned before event ``number``."""
        seconds = self.planned.pop(number, None)
        if seconds is None:
            return
        self.begin(seconds)
        if self.on_begin is not None:
            self.on_begin()

    def wait(self) -> None:
        """Return at the end of the silence, if there is one."""
        while time.monotonic() < self.until_s:
            gevent.sleep(STEP_S)

    def is_left_in(self, sock: socket.socket) -> bool:
        """Wait; return whether the caller at ``sock`` has left meanwhile."""
        if time.monotonic() >= self.until_s:
            return False
        self.wait()
        try:
            with gevent.Timeout(PEEK_S, False):
                return not sock.recv(1, socket.MSG_PEEK)
        except OSError:
            return True
        return False
