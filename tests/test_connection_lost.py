"""Tests that a broken connection is distinguished from a silent one."""

import contextlib
import errno
import unittest

from nose2.tools import params

from cactusridge.clock import SystemClock
from cactusridge.dispatch.upstream import UpstreamRequest, UpstreamSilent
from cactusridge.errors import (
    CactusridgeError,
    OutcomeUnknown,
    TruncatedReply,
)
from cactusridge.fleet.replica import Replica, ReplicaState
from cactusridge.platform.connections import Connections
from cactusridge.platform.upstream import HttpExchange

WAIT_S = 5.0
HEAD = b'\r\n'.join(
    (
        b'HTTP/1.1 200 OK',
        b'X-Attempt-Id: r1',
        b'Transfer-Encoding: chunked',
        b'\r\n',
    ),
)
UNFRAMED = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n\r\n'
KERNEL_TIMEOUT = TimeoutError(errno.ETIMEDOUT, 'Connection timed out')
READ_TIMEOUT = TimeoutError('timed out')
CLOSE_WAIT = bytes((8,))
NO_DATA = BlockingIOError(errno.EAGAIN, 'try again')


class ScriptedSocket:
    """A socket whose reads return or raise the steps of a script."""

    def __init__(self, *script):
        """Use one step of ``script`` for each read."""
        self._script = list(script)
        self.closed = False

    def shutdown(self, how):
        """Record that the connection was shut down."""
        self.closed = True

    def settimeout(self, timeout_s):
        """Ignore the timeout."""

    def fileno(self):
        """Return a descriptor of no socket, which has nothing to send."""
        return 0

    def getsockopt(self, *option):
        """Return the state of a connection whose peer has ended its half."""
        return CLOSE_WAIT

    def recv(self, size):
        """Return or raise the next step."""
        step = self._script.pop(0)
        if isinstance(step, Exception):
            raise step
        return step

    def close(self):
        """Record that the socket was closed."""
        self.closed = True


def _exchange(*script):
    clock = SystemClock()
    replica = Replica('i-1', 's', ('127.0.0.1', 1), 'z', 8, ReplicaState.ready)
    req = UpstreamRequest('r1', 'POST', '/', [], b'', 'f')
    sock = ScriptedSocket(*script)
    return HttpExchange(replica, req, sock, Connections(clock))


class TestConnectionLost(unittest.TestCase):
    """A broken connection fails at once; a silent one may be read again."""

    @params(
        (KERNEL_TIMEOUT, OutcomeUnknown),
        (READ_TIMEOUT, UpstreamSilent),
        (NO_DATA, UpstreamSilent),
    )
    def test_before_the_head(self, failure, expected):
        """A connection that the kernel breaks leaves an unknown outcome."""
        exchange = _exchange(failure)
        with self.assertRaises(expected):
            exchange.head(WAIT_S)

    @params(
        (KERNEL_TIMEOUT, TruncatedReply),
        (READ_TIMEOUT, UpstreamSilent),
    )
    def test_within_the_body(self, failure, expected):
        """A body whose connection the kernel breaks is truncated."""
        exchange = _exchange(HEAD, failure)
        exchange.head(WAIT_S)
        with self.assertRaises(expected):
            exchange.read(WAIT_S)

    @params(
        ((READ_TIMEOUT,), False),
        ((KERNEL_TIMEOUT,), True),
        ((b'',), True),
        ((HEAD, b''), True),
        ((HEAD, b'3\r\nabc\r\n', b''), True),
        ((HEAD, b'0\r\n\r\n'), False),
        ((UNFRAMED, b'abc', b''), False),
    )
    def test_evidence(self, script, ended):
        """An end before that of the answer may be that of the process."""
        exchange = _exchange(*script)
        evidence = exchange._connections.evidence
        with contextlib.suppress(CactusridgeError):
            exchange.head(WAIT_S)
            while exchange.read(WAIT_S):
                """Read on."""
        self.assertEqual(ended, 'i-1' in evidence._ended_at)

    def test_abort_is_no_evidence(self):
        """A connection that this entry shuts down shows no end of a process."""
        exchange = _exchange(HEAD, b'')
        exchange.head(WAIT_S)
        exchange.abort()
        with self.assertRaises(TruncatedReply):
            exchange.read(WAIT_S)
        self.assertFalse(exchange._connections.evidence._ended_at)

    def test_connection_of_another_request_is_shut_down(self):
        """A caller that leaves late aborts a request that has ended."""
        keep_alive = b'Keep-Alive: timeout=9\r\n\r\n'
        exchange = _exchange(HEAD[:-2], keep_alive, b'0\r\n\r\n')
        exchange.head(WAIT_S)
        self.assertEqual(b'', exchange.read(WAIT_S))
        exchange.close()
        sock = exchange._sock
        self.assertFalse(sock.closed)
        exchange.abort()
        self.assertFalse(sock.closed)
