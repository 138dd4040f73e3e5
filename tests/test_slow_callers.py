"""Callers that do not read their streams cost an entry little."""

import json
import statistics
import time
from pathlib import Path

import gevent
from gevent import socket

from cactusridge.http.caller_writes import STALL_LIMIT_S
from standins.machines.site import HOST, ROUTES
from standins.waiting import wait_for
from tests.machine_case import MachineCase

SLOW_CALLERS = 200
# One large stream is longer than all socket buffers between replica and caller.
LARGE_EVENT = 'x' * (64 << 10)
LARGE_EVENTS = 256
# Seconds within which the slots of callers that do not read are free again.
FREE_WITHIN_S = STALL_LIMIT_S + 6
# Three copies of the largest part of a stream, an event and a read, for each
# caller.
MAX_GROWTH_BYTES = SLOW_CALLERS * 2 * len(LARGE_EVENT) * 3
KILOBYTE = 1024
# Slow callers delay others by less than this median time in seconds. It is
# relative to the time without them, which depends on the load of the machine.
MAX_DELAY_S = 0.5
STEADY_READ = 24 << 10
STEADY_PAUSE_S = 0.5
STEADY_EVENTS = 16


def large_text(request_id: str, number: int) -> str:
    """Return the data of an event, which is large for some requests."""
    return LARGE_EVENT if request_id.startswith('large') else f'e{number}'


def used_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    line = next(each for each in lines if each.startswith('VmRSS'))
    return int(line.split()[1]) * KILOBYTE


class TestSlowCallers(MachineCase):
    """Callers ask for streams that are larger than all socket buffers."""

    entries = ('one',)
    slots = 128

    def setUp(self):
        """Let replicas send large events for some requests."""
        super().setUp()
        for replica in self.site.replicas:
            replica.text = large_text
        # The deadlines are after the end of the tests.
        route = {**ROUTES[0], 'timeout_ms': 60000, 'target_latency_ms': 5000}
        self.site.configure([route])
        wait_for('the new timeout', self._has_new_timeout, 5)

    def ask(self, request_id: str, body: bytes) -> socket.socket:
        """Send a request and return its connection without reading it."""
        conn = socket.create_connection(self.site.addresses['one'], timeout=20)
        self.addCleanup(conn.close)
        conn.sendall(
            b'POST /on/ HTTP/1.1\r\nHost: %b\r\nX-Attempt-Id: %b\r\n'
            b'X-Request-Deadline: 60000\r\nConnection: close\r\n'
            b'Content-Length: %d\r\n\r\n%b'
            % (HOST.encode(), request_id.encode(), len(body), body)
        )
        return conn

    def median_of_others_s(self, prefix: str) -> float:
        """Send other requests one after the other; return the median time."""
        times_s = []
        for number in range(8):
            begun_at = time.monotonic()
            status, _, body = self.site.call(
                'one',
                'POST',
                '/on/',
                b'3',
                {
                    'X-Attempt-Id': f'{prefix}{number}',
                    'X-Request-Deadline': '4000',
                },
            )
            self.assertEqual((200, 3), (status, body.count(b'data: ')))
            times_s.append(time.monotonic() - begun_at)
            gevent.sleep(0.1)
        return statistics.median(times_s)

    def started_large(self) -> int:
        """Return how many runs of requests for large streams have begun."""
        return sum(
            count
            for replica in self.site.replicas
            for request, count in replica.runs.items()
            if request.startswith('large')
        )

    def running(self) -> int:
        """Return the number of requests that hold a slot."""
        return sum(each.running for each in self.site.replicas)

    def dropped(self) -> list[dict]:
        """Return the log lines of dropped callers."""
        lines = self.site.entries['one'].log.read_text().splitlines()
        return [
            json.loads(line) for line in lines if 'slow_caller_dropped' in line
        ]

    def test_unread(self):
        """Callers that do not read hold slots and memory for a short time.

        Without the limit each held a slot for the 20 s of the server's idle
        timeout, and megabytes of socket buffers.
        """
        pid = self.site.entries['one'].process.pid
        alone_s = self.median_of_others_s('alone')
        before = used_bytes(pid)
        body = b'%d 0.001' % LARGE_EVENTS
        for number in range(SLOW_CALLERS):
            self.ask(f'large{number}', body)
        begun_at = time.monotonic()
        wait_for('all run', lambda: self.started_large() == SLOW_CALLERS)
        beside_s = self.median_of_others_s('beside')
        left_s = begun_at + FREE_WITHIN_S - time.monotonic()
        wait_for('all slots are free', lambda: not self.running(), left_s)
        self.assertLess(beside_s - alone_s, MAX_DELAY_S)
        self.assertLess(used_bytes(pid) - before, MAX_GROWTH_BYTES)
        # The entry writes its log after it has ended the requests.
        wait_for('the log', lambda: len(self.dropped()) >= SLOW_CALLERS)
        found = self.dropped()
        self.assertEqual(
            {f'large{number}' for number in range(SLOW_CALLERS)},
            {each['request'] for each in found},
        )
        self.assertEqual(SLOW_CALLERS, len(found))
        self.assertEqual({'stalled'}, {each['cause'] for each in found})

    def test_steady(self):
        """A caller that reads slowly but steadily gets the whole stream."""
        conn = self.ask('large-steady', b'%d 0.001' % STEADY_EVENTS)
        begun_at = time.monotonic()
        received = []
        while part := conn.recv(STEADY_READ):
            received.append(part)
            gevent.sleep(STEADY_PAUSE_S)
        raw = b''.join(received)
        self.assertTrue(raw.endswith(b'0\r\n\r\n'))
        self.assertEqual(STEADY_EVENTS, raw.count(b'data: '))
        self.assertGreater(time.monotonic() - begun_at, STALL_LIMIT_S * 2)
        self.assertEqual([], self.dropped())

    def _has_new_timeout(self) -> bool:
        """Return whether a stream may last longer than the first timeout."""
        self.site.call(
            'one',
            'POST',
            '/on/',
            b'1',
            {'X-Attempt-Id': 'first', 'X-Request-Deadline': '60000'},
        )
        lines = self.site.entries['one'].log.read_text().splitlines()
        placed = [each for each in lines if '"request_placed"' in each]
        return json.loads(placed[-1])['left_s'] > FREE_WITHIN_S
