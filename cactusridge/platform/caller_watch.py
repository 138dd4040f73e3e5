"""Detects that a caller has closed its connection."""

import socket

from gevent.socket import wait_read

from cactusridge.dispatch.caller import CallerWatch
from cactusridge.work_meter import Part, spawn


class SocketWatch(CallerWatch):
    """Watches a caller's connection after its request has been read."""

    def __init__(self, sock: socket.socket) -> None:
        """Watch ``sock`` until ``stop`` is called."""
        super().__init__()
        self._sock = sock
        self._greenlet = spawn(Part.caller_watch, self._watch)

    def stop(self) -> None:
        """Stop watching; the callback is not called any more."""
        self.on_disconnect(None)
        self._greenlet.kill(block=False)

    def _watch(self) -> None:
        try:
            wait_read(self._sock.fileno())
            closed = not self._sock.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            closed = True
        # Received bytes are a pipelined next request: the caller is connected.
        if closed:
            self.record_disconnect()
