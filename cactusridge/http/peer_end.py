"""Checks whether a peer ended its half of a connection, or broke it.

A read sees the same in both cases if something else has received the error:
a system gives it to one operation only, which may be a send of another
greenlet, and to none after the peer's regular end.
"""

import errno
import os
import socket
import time

import gevent

from cactusridge.http.blocked_write import queued_bytes

# The state of a connection that is closed on both halves. Here the peer has
# reset it, as this process keeps its half open until it has read the end.
TCP_CLOSE = b'\x07'
# The state is the first byte of the option TCP_INFO.
STATE_BYTES = 1
POLL_S = 0.01


def was_reset(sock: socket.socket) -> bool:
    """Return whether the peer has reset the connection.

    Returns False where the system does not report the state.
    """
    try:
        state = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, STATE_BYTES
        )
    except OSError:
        return False
    return state == TCP_CLOSE


def confirm_end(sock: socket.socket, wait_s: float) -> None:
    """Return once the peer has received all that was sent to it.

    A read of ``sock`` has seen the peer's end. A process that has exited
    resets the connection when more bytes arrive, while one that has ended
    its half only receives them. Raises ConnectionResetError if the connection
    is broken, and TimeoutError after ``wait_s`` seconds.
    """
    end_at = time.monotonic() + wait_s
    while True:
        is_received = not queued_bytes(sock)
        if was_reset(sock):
            raise ConnectionResetError(
                errno.ECONNRESET, os.strerror(errno.ECONNRESET)
            )
        if is_received:
            return
        if time.monotonic() >= end_at:
            raise TimeoutError('the peer has not received the request')
        gevent.sleep(POLL_S)
