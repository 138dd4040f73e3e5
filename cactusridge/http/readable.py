"""Checks whether a socket is ready, whatever its descriptor number."""

import select
import socket

from gevent.monkey import get_original

# The unpatched system call, which does not switch to other greenlets.
# ``select`` rejects descriptors above 1,023, while ``poll`` accepts all.
unpatched_poll = get_original('select', 'poll')


def is_readable(sock: socket.socket) -> bool:
    """Return, without waiting, whether bytes or the end can be read."""
    return _is_ready(sock, select.POLLIN)


def is_writable(sock: socket.socket) -> bool:
    """Return, without waiting, whether bytes can be sent.

    A connect that has ended, with or without an error, counts too.
    """
    return _is_ready(sock, select.POLLOUT)


def _is_ready(sock: socket.socket, events: int) -> bool:
    poller = unpatched_poll()
    poller.register(sock.fileno(), events)
    return bool(poller.poll(0))
