"""Tests of servers whose streams hold no event, and do not end."""

import contextlib
import itertools
import time
from http.client import HTTPConnection

import gevent
from nose2.tools import params

from standins.machines.endless_replica import EndlessReplica, Part
from standins.machines.site import HOST
from standins.machines.stream_caller import StreamCaller
from standins.waiting import wait_for
from tests.machine_case import MachineCase

PARTS = (Part.comments, Part.blank_lines)
CALLERS = 12
ROUNDS = 8
PATHS = ('/safe/1', '/plain/1', '/safe/1', '/safe/1')
STREAMS = 6
# Longest time of an answer of the sound server, in seconds.
BOUND_S = 2
GONE_S = 6
RECV_BYTES = 262_144
BODY = b'3 0.01'


class TestEndlessComments(MachineCase):
    """Callers at an entry with one such server beside a sound one."""

    entries = ('one',)
    slots = 16
    numbers = itertools.count()

    def setUp(self):
        """Let the first replica answer without end."""
        super().setUp()
        self.endless = EndlessReplica()
        self.addCleanup(self.endless.stop)
        self.list_in_first_place(self.endless.start())
        self.caller = StreamCaller(self.site.addresses.__getitem__)

    def call(self, path: str) -> tuple[int, float]:
        """Return the status of a request, and the seconds that it took."""
        sent = {
            'X-Attempt-Id': f'r{next(self.numbers)}',
            'X-Request-Deadline': '4000',
        }
        begun_at = time.monotonic()
        status = self.site.call('one', 'POST', path, BODY, sent)[0]
        return status, time.monotonic() - begun_at

    def take(self, request_id: str) -> None:
        """Take a stream unread, which costs this process little."""
        sent = {'Host': HOST, 'X-Attempt-Id': request_id}
        conn = HTTPConnection(*self.site.addresses['one'], timeout=GONE_S)
        with contextlib.closing(conn), contextlib.suppress(OSError):
            conn.request('POST', '/again/1', BODY, sent)
            while conn.sock.recv(RECV_BYTES):
                gevent.sleep(0)

    def begin_streams(self) -> list[gevent.Greenlet]:
        """Begin STREAMS streams, which the endless replica may get."""
        return [
            gevent.spawn(self.caller.read, 'one', f's{number}', BODY)
            for number in range(STREAMS)
        ]

    @params(*PARTS)
    def test_other_callers(self, part):
        """Callers beside such streams are answered in time."""
        self.check_other_callers(part)

    def check_other_callers(self, part: Part) -> None:
        """Check the answers to callers beside streams without an end."""
        self.endless.part = part
        streams = [
            gevent.spawn(self.take, f't{number}') for number in range(STREAMS)
        ]
        wait_for('a stream', lambda: self.endless.answers[part])
        found = []
        for _ in range(ROUNDS):
            paths = itertools.islice(itertools.cycle(PATHS), CALLERS)
            calls = [gevent.spawn(self.call, path) for path in paths]
            gevent.joinall(calls, raise_error=True)
            found.extend(each.value for each in calls)
        statuses = sorted(status for status, _ in found)
        self.assertLessEqual(set(statuses), {200, 502}, statuses)
        self.assertLess(max(took_s for _, took_s in found), BOUND_S)
        gevent.joinall(streams, timeout=GONE_S)
        wait_for('all are closed', lambda: not self.endless.open, GONE_S)

    def test_other_callers_beside_events(self):
        """Callers beside streams of events without end are answered in time.

        Such streams have the time that their requests have.
        """
        self.check_other_callers(Part.bare_events)

    @params(*PARTS)
    def test_streams(self, part):
        """Streams without an event go on at the sound server, if resumable."""
        self.endless.part = part
        begun_at = time.monotonic()
        streams = self.begin_streams()
        gevent.joinall(streams, timeout=GONE_S, raise_error=True)
        self.assertLess(time.monotonic() - begun_at, BOUND_S)
        self.assertTrue(self.endless.answers[part])
        for each in streams:
            self.assertEqual(['e1', 'e2', 'e3'], each.value.events)
            self.assertTrue(each.value.whole)
