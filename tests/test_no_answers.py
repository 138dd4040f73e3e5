"""Tests of servers that send bytes which are no answer."""

import itertools
import time

import gevent
from nose2.tools import params

from standins.machines.broken_replica import (
    SIGNED,
    BrokenAnswer,
    BrokenReplica,
)
from tests.machine_case import MachineCase

CALLERS = 12
DEADLINE_MS = 6000
# Longest time of an answer, in seconds, which leaves no wait to the deadline.
BOUND_S = 3
SHORT = b'1 0.01'
LONG = SHORT.ljust(2_000_000)
EVENT = b'id: 1\ndata: e1\n\n'
EJECTED = '"replica_ejected"'
SPOILT = b'spoilt'


def answer(start: bytes, fields: bytes = b'') -> bytes:
    """Return an answer with a status line, more headers and a body."""
    length = b'Content-Length: %d\r\n' % len(SPOILT)
    return b'%b\r\n%b%b%b\r\n%b' % (start, SIGNED, fields, length, SPOILT)


NO_STATUS = answer(b'HTTP/1.1 000 Trouble')
NO_ANSWERS = (
    NO_STATUS,
    NO_STATUS + answer(b'HTTP/1.1 200 OK'),
    answer(b'HTTP/1.1 099 Low'),
    answer(b'HTTP/1.1 700 High'),
    answer(b'HTTP/1.1 100 Continue'),
    answer(b'HTTP/1.1 100 Continue') + answer(b'HTTP/1.1 200 OK'),
)
BAD_NAMES = tuple(
    answer(b'HTTP/1.1 200 OK', b'X-%bName: 1\r\n' % each)
    for each in (b' ', b'\x01', b'\x7f')
)
# Requests that may run once are not sent again, unlike the others.
REQUESTS = (
    ('/plain/1', LONG, {200, 502}),
    ('/plain/1', SHORT, {200, 502}),
    ('/on/1', SHORT, {200, 502}),
    ('/safe/1', LONG, {200}),
    ('/again/1', SHORT, {200}),
)


class TestNoAnswers(MachineCase):
    """Requests at an entry with one such server beside a sound one."""

    entries = ('one',)
    slots = 16
    numbers = itertools.count()

    def setUp(self):
        """Replace the first replica."""
        super().setUp()
        self.allow_uploads()
        self.broken = BrokenReplica()
        self.addCleanup(self.broken.stop)
        self.list_in_first_place(self.broken.start())

    def call(self, path: str, body: bytes) -> tuple[int, bytes, float]:
        """Return status and body of an answer, and the seconds it took."""
        sent = {
            'X-Attempt-Id': f'n{next(self.numbers)}',
            'X-Request-Deadline': str(DEADLINE_MS),
        }
        begun_at = time.monotonic()
        status, _, found = self.site.call('one', 'POST', path, body, sent)
        return status, found, time.monotonic() - begun_at

    def check(self, path: str, body: bytes, allowed: set[int]) -> None:
        """Check that callers get whole answers of the sound server in time."""
        calls = [gevent.spawn(self.call, path, body) for _ in range(CALLERS)]
        gevent.joinall(calls, raise_error=True)
        found = [each.value for each in calls]
        self.assertLessEqual({each[0] for each in found}, allowed, found)
        served = {each[1] for each in found if each[0] == 200}
        self.assertEqual({EVENT}, served)
        self.assertLess(max(each[2] for each in found), BOUND_S, found)

    @params(*itertools.product((*NO_ANSWERS, *BAD_NAMES), REQUESTS))
    def test_requests(self, raw, request):
        """Such bytes reach no caller; the server counts as failing."""
        self.broken.answer = BrokenAnswer(raw, early=True)
        self.check(*request)
        self.assertTrue(self.broken.runs)
        self.assertTrue(self.log_lines(EJECTED))

    @params(*NO_ANSWERS, *BAD_NAMES)
    def test_items(self, raw):
        """The items of a job are completed, each at the sound server."""
        self.broken.answer = BrokenAnswer(raw)
        self.site.submit('one', 'j', [SHORT.decode()] * 4)
        self.wait_done('one', 'j', 4)
        found = {
            (each['state'], each['output'])
            for each in self.site.results('one', 'j')
        }
        self.assertEqual({('completed', 'e1')}, found)
