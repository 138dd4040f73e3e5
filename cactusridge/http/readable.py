"""Asks whether a socket can be read, for any number of open ones."""

import select
import socket

from gevent.monkey import get_original

# The system's own call, which does not give way to other greenlets.
# ``select`` refuses descriptors above 1,023, ``poll`` takes any.
real_poll = get_original('select', 'poll')


def is_readable(sock: socket.socket) -> bool:
    """Tell whether bytes, or the end, wait to be read; never wait."""
    poller = real_poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
