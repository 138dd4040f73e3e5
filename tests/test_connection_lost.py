"""A connection that the kernel gives up, told apart from a quiet one."""

import errno
import unittest

from nose2.tools import params

from cactusridge.clock import SystemClock
from cactusridge.dispatch.upstream import UpstreamRequest, UpstreamSilent
from cactusridge.errors import OutcomeUnknown, TruncatedReply
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
GIVEN_UP = TimeoutError(errno.ETIMEDOUT, 'Connection timed out')
WAIT_OVER = TimeoutError('timed out')
NOTHING_THERE = BlockingIOError(errno.EAGAIN, 'try again')


class ScriptedSocket:
    """Returns or raises what it was given, one thing a read."""

    def __init__(self, *script):
        """Follow ``script``."""
        self._script = list(script)
        self.closed = False

    def settimeout(self, timeout_s):
        """Take any timeout."""

    def recv(self, size):
        """Return or raise the next thing."""
        step = self._script.pop(0)
        if isinstance(step, Exception):
            raise step
        return step

    def close(self):
        """Note that the connection was closed."""
        self.closed = True


def _exchange(*script):
    clock = SystemClock()
    replica = Replica('i-1', 's', ('127.0.0.1', 1), 'z', 8, ReplicaState.ready)
    req = UpstreamRequest('r1', 'POST', '/', [], b'', 'f')
    sock = ScriptedSocket(*script)
    return HttpExchange(replica, req, sock, Connections(clock))


class TestConnectionLost(unittest.TestCase):
    """What is broken fails its replica at once; what is quiet does not."""

    @params(
        (GIVEN_UP, OutcomeUnknown),
        (WAIT_OVER, UpstreamSilent),
        (NOTHING_THERE, UpstreamSilent),
    )
    def test_before_the_head(self, failure, expected):
        """A connection given up has an unknown outcome, not a silence."""
        exchange = _exchange(failure)
        with self.assertRaises(expected):
            exchange.head(WAIT_S)

    @params(
        (GIVEN_UP, TruncatedReply),
        (WAIT_OVER, UpstreamSilent),
    )
    def test_within_the_body(self, failure, expected):
        """A body whose connection is given up is cut."""
        exchange = _exchange(HEAD, failure)
        exchange.head(WAIT_S)
        with self.assertRaises(expected):
            exchange.read(WAIT_S)
