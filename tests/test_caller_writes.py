"""Limits of what is held for callers that block writes."""

import contextlib
import time
import unittest

import gevent
from gevent import socket

from cactusridge import events
from cactusridge.http.blocked_write import CHECK_S
from cactusridge.http.caller_writes import CallerWrites, WriteLimits
from standins.waiting import wait_for
from tests.emitted import emitted

STALL_S = 0.6
BUFFER = 16 << 10
READ = 4 << 10
CHUNK = bytes(200_000)
UNLIMITED = 1 << 30


class TestCallerWrites(unittest.TestCase):
    """Writes to callers that read steadily, later or not at all."""

    def pair(self):
        """Return both ends of a connection with small buffers."""
        with contextlib.closing(socket.socket()) as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
            listener.bind(('127.0.0.1', 0))
            listener.listen()
            server = socket.create_connection(listener.getsockname())
            caller, _ = listener.accept()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER)
        self.addCleanup(server.close)
        self.addCleanup(caller.close)
        return server, caller

    def send(self, writes, sock, request='r1'):
        """Send ``CHUNK`` in a greenlet; return the greenlet."""
        sending = gevent.spawn(writes.send, sock, CHUNK, request)
        self.addCleanup(sending.kill)
        gevent.sleep(0.05)
        return sending

    def read(self, sock, pause_s):
        """Read until all of ``CHUNK`` is received; return the seconds."""
        begun_at = time.monotonic()
        left = len(CHUNK)
        while left:
            received = sock.recv(min(READ, left))
            self.assertTrue(received, 'the connection was closed')
            left -= len(received)
            gevent.sleep(pause_s)
        return time.monotonic() - begun_at

    def test_steady(self):
        """A write that lasts longer than the limit goes on while it moves.

        A timeout of the whole write would disconnect the caller.
        """
        server, caller = self.pair()
        writes = CallerWrites(WriteLimits(STALL_S, UNLIMITED))
        sending = self.send(writes, server)
        with emitted() as found:
            took_s = self.read(caller, 0.05)
        sending.get(timeout=1)
        self.assertGreater(took_s, STALL_S * 3)
        self.assertEqual([], found)
        self.assertEqual(0, writes.unsent)

    def test_stalled(self):
        """A caller that reads nothing is disconnected after the limit."""
        server, caller = self.pair()
        writes = CallerWrites(WriteLimits(STALL_S, UNLIMITED))
        begun_at = time.monotonic()
        with emitted() as found:
            sending = self.send(writes, server)
            sending.join()
        took_s = time.monotonic() - begun_at
        self.assertIsInstance(sending.exception, OSError)
        self.assertTrue(STALL_S <= took_s < STALL_S + 4 * CHECK_S, took_s)
        self.assertEqual([events.SLOW_CALLER_DROPPED], found)
        self.assertEqual(0, writes.unsent)
        server.close()
        with self.assertRaises(ConnectionResetError):
            while caller.recv(READ):
                """Read what was received before the connection was reset."""

    def test_memory(self):
        """Past the limit of bytes, the slowest caller is disconnected only."""
        writes = CallerWrites(WriteLimits(60, len(CHUNK) * 2))
        pairs = [self.pair() for _ in range(3)]
        sending = [self.send(writes, server) for server, _ in pairs[:2]]
        # The first caller receives some bytes, so the second is the slowest.
        gevent.sleep(CHECK_S)
        for _ in range(16):
            pairs[0][1].recv(READ)
        before = writes.unsent
        wait_for('progress', lambda: writes.unsent < before, 2)
        with emitted() as found:
            sending.append(self.send(writes, pairs[2][0]))
            self.assertEqual([], found)
            sending.append(self.send(writes, self.pair()[0]))
            wait_for('an end', lambda: any(each.ready() for each in sending), 2)
        self.assertEqual(
            [False, True, False, False], [each.ready() for each in sending]
        )
        self.assertIsInstance(sending[1].exception, OSError)
        self.assertEqual([events.SLOW_CALLER_DROPPED], found)
        self.assertLessEqual(writes.unsent, len(CHUNK) * 2)

    def test_pause(self):
        """The time in which this process does not run does not count."""
        server, caller = self.pair()
        writes = CallerWrites(WriteLimits(STALL_S, UNLIMITED))
        with emitted() as found:
            sending = self.send(writes, server)
            # Blocks the event loop.
            gevent.monkey.get_original('time', 'sleep')(STALL_S * 2)
            gevent.sleep(0.05)
            self.read(caller, 0)
            sending.get(timeout=1)
        self.assertNotIn(events.SLOW_CALLER_DROPPED, found)
