"""A caller's connection is watched while its request runs."""

import subprocess  # noqa: S404
import sys
import unittest
from pathlib import Path

import gevent
from gevent import socket
from nose2.tools import params

from cactusridge.platform.caller_watch import SocketWatch

ROOT = Path(__file__).parent.parent
# The server closes the descriptor itself after the watch was stopped. More
# callbacks are due than the loop runs before it looks for events again, as
# after a suspension.
CLOSED_WHEN_LATE = """
import time
import gevent
from gevent import socket
from cactusridge.platform.caller_watch import SocketWatch

server, caller = socket.socketpair()
watch = SocketWatch(server)
gevent.sleep(0)
for _ in range(200):
    gevent.get_hub().loop.run_callback(time.sleep, 0.001)
watch.stop()
server._sock.close()
gevent.sleep(0.3)
"""


class TestSocketWatch(unittest.TestCase):
    """Both ends of a connection."""

    def setUp(self):
        """Watch one end."""
        ends = socket.socketpair()
        self.server = ends[0]
        self.caller = ends[1]
        self.addCleanup(self.server.close)
        self.addCleanup(self.caller.close)
        self.watch = SocketWatch(self.server)
        self.addCleanup(self.watch.stop)
        self.calls = []
        self.watch.on_disconnect(lambda: self.calls.append('disconnected'))

    @params(
        (lambda caller: caller.close(), ['disconnected']),
        (lambda caller: caller.shutdown(socket.SHUT_WR), ['disconnected']),
        (lambda caller: caller.sendall(b'GET'), []),
        (lambda caller: None, []),
    )
    def test_recorded(self, act, wanted):
        """Only the end of the connection is a disconnect."""
        act(self.caller)
        gevent.sleep(0.05)
        self.assertEqual(wanted, self.calls)
        self.assertEqual(bool(wanted), self.watch.disconnected)

    def test_stopped(self):
        """After a stop nothing is recorded, also if it was due by then."""
        self.caller.close()
        self.watch.stop()
        gevent.sleep(0.05)
        self.assertFalse(self.calls)

    def test_closed_when_late(self):
        """The process survives that its server closes the connection.

        libev ends a process that has an active watcher of a closed descriptor.
        """
        ended = subprocess.run(  # noqa: S603
            (sys.executable, '-c', CLOSED_WHEN_LATE),
            cwd=ROOT,
            capture_output=True,
            check=False,
        )
        self.assertEqual((0, b''), (ended.returncode, ended.stderr))
