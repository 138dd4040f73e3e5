"""A test case whose loop is late while a peer is sound."""

import unittest

import gevent
from gevent.event import Event
from gevent.monkey import get_original

from cactusridge.http.client import Address

# Longer than every time-out of these tests' own settings together.
PAUSE_S = 1.2
TURN_S = 0.001
CHUNK = 1 << 20
REPLY = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'

really_sleep = get_original('time', 'sleep')


def block_turns(seconds):
    """Have every turn of the loop last at least ``seconds``."""
    while True:
        really_sleep(seconds)
        gevent.sleep(TURN_S)


class LateCase(unittest.TestCase):
    """Has the loop late, turn by turn or at once, while a peer is sound."""

    def setUp(self):
        """Listen as a peer."""
        self.listener = gevent.socket.create_server(('127.0.0.1', 0))
        self.addCleanup(self.listener.close)
        self.address = Address(*self.listener.getsockname())
        self.asked = Event()

    def late_by(self, seconds):
        """Make every turn of the loop late."""
        late = gevent.spawn(block_turns, seconds)
        self.addCleanup(late.kill)

    def answer(self, turns):
        """Answer one request, some turns of the loop after it."""
        conn, _ = self.listener.accept()
        with conn:
            conn.recv(CHUNK)
            self.asked.set()
            for _ in range(turns):
                gevent.sleep(TURN_S)
            conn.sendall(REPLY)

    def pause_after_asking(self):
        """Let nothing run for a while once a request has arrived."""
        self.assertTrue(self.asked.wait(10))
        really_sleep(PAUSE_S)
