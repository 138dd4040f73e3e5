"""Checks whether the peer of an idle connection is still running."""

import socket

import gevent

from cactusridge.http.readable import is_readable

# Seconds within which a connection that an ending process has not accepted
# is reset.
PROBE_S = 0.05


def is_quiet(sock: socket.socket) -> bool:
    """Return whether an idle socket has no unread bytes and is open."""
    try:
        return not is_readable(sock)
    except (OSError, ValueError):
        return False


def is_still_open(sock: socket.socket) -> bool:
    """Return whether a new connection is still open after PROBE_S."""
    gevent.sleep(PROBE_S)
    return is_quiet(sock)
