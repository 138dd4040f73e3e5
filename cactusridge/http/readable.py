"""Asks whether a socket is ready, for any number of open ones."""

import select
import socket

from gevent.monkey import get_original

# The system's own call, which does not give way to other greenlets.
# ``select`` refuses descriptors above 1,023, ``poll`` takes any.
real_poll = get_original('select', 'poll')


def is_readable(sock: socket.socket) -> bool:
    """Tell whether bytes, or the end, wait to be read; never wait."""
    return _is_ready(sock, select.POLLIN)


def is_writable(sock: socket.socket) -> bool:
    """Tell whether a connect is over or bytes can be sent; never wait."""
    return _is_ready(sock, select.POLLOUT)


def _is_ready(sock: socket.socket, events: int) -> bool:
    poller = real_poll()
    poller.register(sock.fileno(), events)
    return bool(poller.poll(0))
