"""Reads the bytes of a caller's requests within bounds."""

import contextlib
import io
import time
from collections.abc import Iterator

from gevent import socket

from cactusridge.http.readable import is_readable
from cactusridge.http.receive_turns import ReceiveTurns

# The default of how long a request line and its headers may take, in seconds.
HEADER_TIMEOUT_S = 15
# Most bytes of a request line and its headers, with what follows them at once.
MAX_HEAD_BYTES = 1_048_576
# The library reads the framing of a body byte by byte.
TURN_BYTES = 8192
# Bounds on the rest of a body that is read only to reach the next request.
MAX_REST_BYTES = 16_777_216
REST_TIMEOUT_S = 3
# For how long bytes that have arrived are read after their time, in seconds.
LATE_READ_S = 3
# Shortest wait for bytes, in seconds; 0 would not wait at all.
MIN_WAIT_S = 0.001


class TooMuchReceived(OSError):
    """A part of a request is longer than its bound, or takes longer."""


class RequestReader(io.RawIOBase):
    """The bytes that a caller sends, in the order of arrival."""

    def __init__(self, sock: socket.socket) -> None:
        """Read from ``sock``, by its timeout."""
        super().__init__()
        # Whether a bound was exceeded: the next request cannot be found.
        self.exceeded = False
        self._sock = sock
        self._turns = ReceiveTurns(TURN_BYTES)
        self._left: int | None = None
        self._end_at: float | None = None

    def readable(self) -> bool:
        """Return True."""
        return True

    def bound(self, size: int, seconds: float) -> None:
        """Let at most ``size`` more bytes arrive within ``seconds``."""
        self._left = size
        self._end_at = time.monotonic() + seconds

    def unbound(self) -> None:
        """Remove the bounds."""
        self._left = None
        self._end_at = None

    def readinto(self, buffer: memoryview) -> int | None:
        """Receive into ``buffer``; return the number of bytes.

        Returns None if nothing has arrived and the socket does not wait.
        Raises OSError, TooMuchReceived among them.
        """
        self._check()
        try:
            count = self._receive(buffer)
        except BlockingIOError:
            return None
        if self._left is not None:
            self._left -= count
        self._turns.record(count)
        return count

    def _receive(self, buffer: memoryview) -> int:
        try:
            with self._limited_wait():
                return self._sock.recv_into(buffer)
        except TimeoutError:
            self._check()
            if self._end_at is None or not is_readable(self._sock):
                # It may be a time-out that the application has set.
                raise
        # Bytes have arrived just as the bounded wait ended.
        return self._sock.recv_into(buffer)

    def _check(self) -> None:
        """Raise TooMuchReceived if a bound is exceeded.

        Bytes that have arrived in time may be read late.
        """
        too_long = self._left is not None and self._left <= 0
        left_s = self._seconds_left()
        too_late = left_s <= 0 and not is_readable(self._sock)
        if too_long or too_late or left_s <= -LATE_READ_S:
            self.exceeded = True
            raise TooMuchReceived('the request is too long, or too slow')

    def _seconds_left(self) -> float:
        if self._end_at is None:
            return float('inf')
        return self._end_at - time.monotonic()

    @contextlib.contextmanager
    def _limited_wait(self) -> Iterator[None]:
        """Let the socket wait no longer than the bound."""
        usual_s = self._sock.gettimeout()
        left_s = self._seconds_left()
        if self._end_at is None or (usual_s is not None and usual_s <= left_s):
            yield
            return
        own_s = max(left_s, MIN_WAIT_S)
        self._sock.settimeout(own_s)
        try:
            yield
        finally:
            # Another greenlet may have set a timeout to end the connection.
            if self._sock.gettimeout() == own_s:
                self._sock.settimeout(usual_s)
