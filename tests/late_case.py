"""A test case with a slow event loop and a responsive peer."""

import unittest

import gevent
from gevent.event import Event
from gevent.monkey import get_original

from cactusridge.http.client import Address

# Seconds; longer than the sum of all timeouts in these tests' settings.
PAUSE_S = 1.2
TURN_S = 0.001
CHUNK = 1 << 20
REPLY = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'

really_sleep = get_original('time', 'sleep')


def block_turns(seconds):
    """Make every iteration of the loop last at least ``seconds``."""
    while True:
        really_sleep(seconds)
        gevent.sleep(TURN_S)


class LateCase(unittest.TestCase):
    """Slows down each iteration of the loop, or pauses it once."""

    def setUp(self):
        """Listen as the peer."""
        self.listener = gevent.socket.create_server(('127.0.0.1', 0))
        self.addCleanup(self.listener.close)
        self.address = Address(*self.listener.getsockname())
        self.asked = Event()

    def late_by(self, seconds):
        """Delay every iteration of the loop by ``seconds``."""
        late = gevent.spawn(block_turns, seconds)
        self.addCleanup(late.kill)

    def answer(self, turns):
        """Answer one request after ``turns`` sleeps of TURN_S."""
        conn, _ = self.listener.accept()
        with conn:
            conn.recv(CHUNK)
            self.asked.set()
            for _ in range(turns):
                gevent.sleep(TURN_S)
            conn.sendall(REPLY)

    def pause_after_asking(self):
        """Block the process for PAUSE_S once a request has arrived."""
        self.assertTrue(self.asked.wait(10))
        really_sleep(PAUSE_S)
