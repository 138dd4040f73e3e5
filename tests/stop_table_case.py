"""Stops an entry process while requests are in every state."""

import itertools
import json
import signal
import socket
import time
from contextlib import suppress
from datetime import datetime
from typing import Any, NamedTuple

import gevent

from cactusridge.descriptors import allow_many
from standins.machines.raw_replica import RawReplica
from standins.machines.site import HOST
from tests.machine_case import MachineCase

READINESS_DELAY_S = 0.3
DRAIN_LIMIT_S = 2.5
# After this time a replica may still be at work when the entry ends.
AT_WORK_FROM_S = READINESS_DELAY_S + DRAIN_LIMIT_S - 1
ANSWER_WAIT_S = 10
EVENT_S = 0.1
SLACK_S = 0.2
IDLE_CONNECTIONS = 300
BODY = b'x' * 20_000
LAST_CHUNK = b'0\r\n\r\n'
PATHS = ('/on/', '/safe/', '/plain/', '/again/')
# Seconds from SIGTERM to the first half of a request and to its second half.
MOMENTS_S = (
    (-0.25, -0.25),
    (-0.25, 0.2),
    (-0.25, 0.9),
    (-0.05, -0.05),
    (0.1, 0.1),
    (0.25, 0.35),
    (0.35, 0.35),
    (0.55, 0.65),
    (0.62, 0.62),
    (0.65, 0.65),
    (0.7, 0.7),
    (2.4, 2.4),
    (2.6, 2.6),
)


class Outcome(NamedTuple):
    """What a caller got.

    ``status`` is 0 if the connection ended without an answer, ``complete``
    whether the answer was, and ``ended_s`` the time from SIGTERM to its end,
    ``took_s`` that from the last byte of the request.
    """

    status: int
    complete: bool
    ended_s: float
    took_s: float


class Sending(NamedTuple):
    """A request and when its halves are sent, in seconds from SIGTERM."""

    name: str
    path: str
    first_s: float
    second_s: float
    resumes: bool = False


def is_complete(raw: bytes) -> bool:
    """Return whether a response is complete by its framing."""
    head, end, body = raw.partition(b'\r\n\r\n')
    if not end:
        return False
    if b'chunked' in head:
        return body.endswith(LAST_CHUNK)
    length = head.lower().partition(b'content-length: ')[2].split()[0]
    return len(body) == int(length)


class StopTableCase(MachineCase):
    """An entry of two replicas that write their own answers."""

    entries = ()
    replicas = 2
    slots = 200

    def setUp(self):
        """Start an entry with replicas that write their own answers."""
        allow_many()
        super().setUp()
        # The paths of streams that a replica may break off.
        self.cut_off: set[str] = set()
        self.raw = [
            RawReplica(listed, EVENT_S) for listed in self.site.replicas
        ]
        for listed, raw in zip(self.site.replicas, self.raw, strict=True):
            self.addCleanup(raw.stop)
            self.site.register(listed, raw.start())
        self.site.extra_settings = {
            'readiness_delay_s': READINESS_DELAY_S,
            'drain_timeout_s': DRAIN_LIMIT_S,
        }
        self.site.start_entry('one')
        self.stopped_at = time.monotonic() + 1

    def sleep_until(self, second: float) -> None:
        """Sleep until ``second`` seconds after SIGTERM."""
        gevent.sleep(max(0, self.stopped_at + second - time.monotonic()))

    def send(self, conn: socket.socket | None, sending: Sending) -> Outcome:
        """Send a request, on a new connection if ``conn`` is None."""
        self.sleep_until(sending.first_s)
        received: list[bytes] = []
        sent_at = time.monotonic()
        with suppress(ConnectionError, TimeoutError):
            conn = conn or self.connect()
            sent_at = self.send_halves(conn, sending)
            self.receive(conn, received)
        raw = b''.join(received)
        now = time.monotonic()
        return Outcome(
            int(raw.split()[1]) if raw else 0,
            is_complete(raw),
            now - self.stopped_at,
            now - sent_at,
        )

    def send_halves(self, conn: socket.socket, sending: Sending) -> float:
        """Send a request and return when its last byte was sent."""
        more = 'Last-Event-Id: 2\r\n' if sending.resumes else ''
        head = (
            f'POST {sending.path} HTTP/1.1\r\nHost: {HOST}\r\n{more}'
            f'X-Attempt-Id: {sending.name}\r\nX-Request-Deadline: 5000\r\n'
            f'Content-Length: {len(BODY)}\r\n\r\n'
        )
        conn.sendall(head.encode() + BODY[:9])
        self.sleep_until(sending.second_s)
        conn.sendall(BODY[9:])
        return time.monotonic()

    def receive(self, conn: socket.socket, received: list[bytes]) -> None:
        """Append what is received up to the end of the response."""
        while not is_complete(b''.join(received)):
            part = conn.recv(65_536)
            if not part:
                break
            received.append(part)

    def connect(self) -> socket.socket:
        """Return a new connection to the entry."""
        conn = socket.create_connection(
            self.site.addresses['one'], ANSWER_WAIT_S
        )
        self.addCleanup(conn.close)
        return conn

    def closed_at(self, conn: socket.socket) -> float:
        """Return the Unix time at which an idle connection was closed."""
        self.assertEqual(b'', conn.recv(1))
        return time.time()

    def stop(self, disturb=None):
        """Stop the entry; return the requests and their outcomes."""
        sendings = [
            Sending(f'{kept}{path}{halves}', path, *halves)
            for kept, path, halves in itertools.product('01', PATHS, MOMENTS_S)
        ]
        sendings += [
            Sending(f'resumed{first}', '/again/', first, first, resumes=True)
            for first in (-0.25, 0.1, 0.35, 0.62)
        ]
        conns = [
            self.connect() if sending.name.startswith('1') else None
            for sending in sendings
        ]
        idle = [self.connect() for _ in range(IDLE_CONNECTIONS)]
        self.stopped_at = time.monotonic() + 0.5
        closes = [gevent.spawn(self.closed_at, conn) for conn in idle]
        callers = [
            gevent.spawn(self.send, conn, sending)
            for conn, sending in zip(conns, sendings, strict=True)
        ]
        entry = self.site.entries['one']
        self.sleep_until(0)
        entry.send(signal.SIGTERM)
        if disturb is not None:
            disturb()
        gevent.joinall([*callers, *closes], raise_error=True)
        entry.wait()
        self.closed = [each.value for each in closes]
        return [
            (sending, caller.value)
            for sending, caller in zip(sendings, callers, strict=True)
        ]

    def check(self, outcomes) -> None:
        """Check that each request was answered, refused, or left alone."""
        wrong = {}
        for sending, outcome in outcomes:
            runs = sum(raw.runs[sending.name] for raw in self.raw)
            cut_off = sending.path in self.cut_off and outcome.status
            if not (cut_off or self.is_allowed(outcome, runs)):
                wrong[sending.name] = (outcome, runs)
        self.assertEqual({}, wrong)

    def is_allowed(self, outcome: Outcome, runs: int) -> bool:
        """Return whether the rules allow an outcome."""
        if outcome.status in {429, 503}:
            return outcome.complete and not runs
        if outcome.complete:
            return True
        if outcome.status:
            # The replica was still at work at the end.
            return outcome.ended_s >= AT_WORK_FROM_S
        return not runs and outcome.took_s < SLACK_S

    def drain_ended_at(self) -> float:
        """Return the Unix time at which the drain ended by the log."""
        for line in self.lines():
            if line['event'] == 'drain_ended':
                stamp = line['timestamp'].replace('Z', '+00:00')
                return datetime.fromisoformat(stamp).timestamp()
        self.fail('the log says of no end of the drain')

    def lines(self) -> list[dict[str, Any]]:
        """Return the lines of the entry's log."""
        path = self.site.folder / 'one.log'
        return [json.loads(line) for line in path.read_text().splitlines()]
