"""Notices that a caller has closed its connection."""

import socket

from gevent.socket import wait_read

from cactusridge.dispatch.caller import CallerWatch
from cactusridge.work_meter import Part, spawn


class SocketWatch(CallerWatch):
    """Watches a connection whose request has been read whole."""

    def __init__(self, sock: socket.socket) -> None:
        """Watch ``sock`` until ``stop``."""
        super().__init__()
        self._sock = sock
        self._greenlet = spawn(Part.caller_watch, self._watch)

    def stop(self) -> None:
        """Watch no longer."""
        self.call_when_gone(None)
        self._greenlet.kill(block=False)

    def _watch(self) -> None:
        try:
            wait_read(self._sock.fileno())
            left = not self._sock.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            left = True
        # Bytes are the caller's next request, sent ahead.
        if left:
            self.note_gone()
