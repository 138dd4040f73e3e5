"""Tests of requests that arrive late in the grace of a planned stop."""

import contextlib
import itertools
import time
from http.client import HTTPConnection, HTTPException
from typing import NamedTuple

import gevent
from nose2.tools import params

from standins.machines.site import HOST
from tests.machine_case import MachineCase

GRACE_S = 8
# Seconds in which a connection may end without an answer.
SLACK_S = 0.2
# Events of a request, and the seconds that each takes.
WORK = b'%d 0.1'
LENGTHS = (1, 8, 15, 30)
UPLOAD_BYTES = 400_000
PIECES = 20
PAUSE_S = 0.08
PATHS = ('/plain/1', '/safe/1', '/on/1', '/again/1')
CALLERS = 12
REFUSALS = frozenset((408, 421, 429, 503))
TIMEOUT_S = 10


class Outcome(NamedTuple):
    """How a request ended; the status is 0 without a complete answer.

    ``sent_s`` is the time from its last byte to its end, in seconds.
    """

    request_id: str
    status: int
    sent_s: float


class TestLateInGrace(MachineCase):
    """Callers use their connections until the process is gone."""

    entries = ()
    slots = 32

    def setUp(self):
        """Start the site with the stop of the machines."""
        super().setUp()
        self.site.extra_settings = {
            'readiness_delay_s': 2.7,
            'drain_timeout_s': 4.5,
        }
        self.site.start_entry('one')
        self.outcomes: list[Outcome] = []
        self.numbers = itertools.count()

    def send(self, conn: HTTPConnection, path: str, uploads: bool) -> bool:
        """Send a request; return whether the connection goes on."""
        number = next(self.numbers)
        request_id = f'g{number}'
        body = WORK % LENGTHS[number % len(LENGTHS)]
        pieces = [body]
        if uploads:
            body = body.ljust(UPLOAD_BYTES)
            size = UPLOAD_BYTES // PIECES
            pieces = [
                body[start : start + size]
                for start in range(0, UPLOAD_BYTES, size)
            ]
        status = 0
        with contextlib.suppress(OSError, HTTPException):
            self.write(conn, path, request_id, pieces)
        sent_at = time.monotonic()
        with contextlib.suppress(OSError, HTTPException):
            resp = conn.getresponse()
            resp.read()
            status = resp.status
        ended_s = time.monotonic() - sent_at
        self.outcomes.append(Outcome(request_id, status, ended_s))
        return bool(status) and conn.sock is not None

    def write(
        self,
        conn: HTTPConnection,
        path: str,
        request_id: str,
        pieces: list[bytes],
    ) -> None:
        """Send a request in pieces."""
        conn.putrequest('POST', path, skip_host=True)
        conn.putheader('Host', HOST)
        conn.putheader('X-Attempt-Id', request_id)
        conn.putheader('X-Request-Deadline', '5500')
        conn.putheader('Content-Length', str(sum(map(len, pieces))))
        conn.endheaders()
        for piece in pieces:
            conn.send(piece)
            gevent.sleep(PAUSE_S if len(pieces) > 1 else 0)

    def call(self, path: str, uploads: bool) -> None:
        """Send one request after the other on one connection."""
        conn = HTTPConnection(*self.site.addresses['one'], timeout=TIMEOUT_S)
        with contextlib.closing(conn):
            conn.connect()
            while self.send(conn, path, uploads):
                gevent.sleep(0.01)

    @params(False, True)
    def test_requests(self, uploads):
        """Each is answered, or refused and has not run."""
        calls = [
            gevent.spawn(self.call, path, uploads)
            for path, _ in zip(
                itertools.cycle(PATHS), range(CALLERS), strict=False
            )
        ]
        gevent.sleep(1)
        begun_at = time.monotonic()
        self.assertEqual(0, self.site.entries['one'].stop())
        self.assertLess(time.monotonic() - begun_at, GRACE_S)
        gevent.joinall(calls, raise_error=True)
        untrue = [
            each
            for each in self.outcomes
            if each.status in REFUSALS and self.runs(each.request_id)
        ]
        self.assertEqual([], untrue)
        cut = [
            each
            for each in self.outcomes
            if each.status not in {200, *REFUSALS}
            and (self.runs(each.request_id) or each.sent_s > SLACK_S)
        ]
        self.assertEqual([], cut)
        self.assertTrue(any(each.status == 200 for each in self.outcomes))
