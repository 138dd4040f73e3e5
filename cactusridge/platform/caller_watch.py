"""Detects that a caller has closed its connection."""

import socket

import gevent

from cactusridge.dispatch.caller import CallerWatch
from cactusridge.work_meter import Part, spawn

# The event of a watcher of the loop: there are bytes, or the end, to read.
READABLE = 1


class SocketWatch(CallerWatch):
    """Watches a caller's connection after its request has been read."""

    def __init__(self, sock: socket.socket) -> None:
        """Watch ``sock`` until ``stop`` is called.

        Raises ValueError if it is closed.
        """
        super().__init__()
        self._sock = sock
        self._stopped = False
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), READABLE)
        self._watcher.start(self._handle_readable)

    def stop(self) -> None:
        """Stop watching; the callback is not called any more.

        The watcher is stopped before this returns. The server closes the
        descriptor next, and libev ends the process if it finds an active
        watcher of a closed one.
        """
        self.on_disconnect(None)
        self._stopped = True
        self._watcher.stop()
        self._watcher.close()

    def _handle_readable(self) -> None:
        """Examine the connection outside of the loop, which must not block."""
        self._watcher.stop()
        spawn(Part.caller_watch, self._check)

    def _check(self) -> None:
        if self._stopped:
            return
        try:
            closed = not self._sock.recv(1, socket.MSG_PEEK)
        except OSError:
            closed = True
        # Received bytes are a pipelined next request: the caller is connected.
        if closed:
            self.record_disconnect()
