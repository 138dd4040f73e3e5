"""Whether the process behind a connection in no use lives."""

import socket

import gevent

from cactusridge.http.readable import is_readable

# A process that ends resets what it has not accepted within this time, in
# seconds.
PROBE_S = 0.05


def is_quiet(sock: socket.socket) -> bool:
    """Tell whether neither bytes nor an end have come on an idle socket."""
    try:
        return not is_readable(sock)
    except (OSError, ValueError):
        return False


def stays_open(sock: socket.socket) -> bool:
    """Tell whether a new connection is still there after a moment."""
    gevent.sleep(PROBE_S)
    return is_quiet(sock)
