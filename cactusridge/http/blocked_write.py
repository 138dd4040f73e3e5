"""A write that waits until its caller reads."""

import errno
import fcntl
import socket
import struct
import termios

from gevent.socket import wait_write

from cactusridge.clock import Clock

# Seconds between two checks of the progress of a blocked write. The socket
# alone does not show it: it is writable only once a third of the send buffer
# is free, which a caller that reads slowly takes long to reach.
CHECK_S = 0.25
# The integer that TIOCOUTQ fills in.
INT = struct.Struct('i')
# The option SO_LINGER with a time of 0 makes close() discard the unsent bytes.
# Otherwise the system would keep them for a caller that does not read them.
NO_LINGER = struct.pack('ii', 1, 0)


class BlockedWrite:
    """The rest of a part of a reply and the progress of its caller.

    ``request`` is the request's id. ``progress_at`` is when the caller last
    received bytes, or when the write began, in seconds of ``clock``.
    """

    def __init__(
        self,
        sock: socket.socket,
        left: memoryview,
        request: str,
        clock: Clock,
    ) -> None:
        """Begin with the bytes ``left`` of the part."""
        self.request = request
        self.progress_at = clock.monotonic()
        self.queued = queued_bytes(sock)
        self.dropped = False
        self._sock = sock
        self._left = left
        self._clock = clock

    @property
    def unsent(self) -> int:
        """The number of bytes that this process holds."""
        return len(self._left)

    def stalled_s(self) -> float:
        """Return the seconds since the caller last received bytes."""
        return self._clock.monotonic() - self.progress_at

    def advance(self) -> None:
        """Wait at most ``CHECK_S`` and send what the socket accepts.

        Raises OSError if the connection is broken or dropped.
        """
        try:
            wait_write(self._sock.fileno(), CHECK_S, TimeoutError())
        except TimeoutError:
            sent = 0
        else:
            sent = send_now(self._sock, self._left)
        self._left = self._left[sent:]
        queued = queued_bytes(self._sock)
        if sent or queued < self.queued:
            self.progress_at = self._clock.monotonic()
        self.queued = queued

    def drop(self) -> None:
        """Break the connection; the greenlet that writes sees its end."""
        self.dropped = True
        try:
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER
            )
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The caller has broken the connection itself.
            return


def send_now(sock: socket.socket, chunk: memoryview) -> int:
    """Send what the socket accepts at once; return the number of bytes."""
    try:
        return sock.send(chunk, 0, 0)
    except OSError as exc:
        if exc.errno not in {errno.EAGAIN, errno.EWOULDBLOCK}:
            raise
        return 0


def queued_bytes(sock: socket.socket) -> int:
    """Return the bytes that the peer's system has not acknowledged.

    Returns 0 if the system does not report them; progress then shows only
    when the socket accepts more bytes.
    """
    try:
        found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, INT.pack(0))
    except OSError:
        return 0
    return INT.unpack(found)[0]
