"""Replicas answer with bytes that are no answer, or break their answers off."""

import contextlib
import itertools
import random
from http.client import HTTPConnection, HTTPException

import gevent

from soak.callers import RequestSpec, expected_body
from soak.organisations import key_headers
from soak.replica_faults import ReplicaFault
from soak.versions import other_version, without_marks
from soak.world import World
from standins.machines.broken_replica import (
    SIGNED,
    BrokenAnswer,
    BrokenReplica,
    Ending,
)
from standins.machines.site import HOST

DEADLINE_MS = 4000
TIMEOUT_S = 6
MAX_PAUSE_S = 0.3
CALLERS = 3
SHORT = b'plain'
# Longer than the buffers of a connection.
LONG = SHORT.ljust(4_000_000, b'.')
SPOILT = b'Content-Length: 6\r\n\r\nspoilt'
UNFRAMED = b'HTTP/1.1 200 OK\r\n%b\r\nid: 1\ndata: par' % SIGNED
FINAL = b'HTTP/1.1 200 OK\r\n%b%b' % (SIGNED, SPOILT)
NO_STATUS = b'HTTP/1.1 000 Trouble\r\n%b%b' % (SIGNED, SPOILT)
INTERIM = b'HTTP/1.1 100 Continue\r\n%b' % SPOILT
CODED = b'HTTP/1.1 200 OK\r\n%bTransfer-Encoding: gzip\r\n\r\nspoilt' % SIGNED
ANSWERS = (
    BrokenAnswer(UNFRAMED, Ending.reset, early=True),
    BrokenAnswer(UNFRAMED, Ending.reset, 0.02, early=True),
    BrokenAnswer(NO_STATUS),
    BrokenAnswer(NO_STATUS + FINAL),
    BrokenAnswer(INTERIM + FINAL),
    BrokenAnswer(FINAL.replace(b'X-Resp', b'X Bad: 1\r\nX-Resp')),
    BrokenAnswer(CODED, Ending.exit),
)
RESTART_S = (0.4, 0.7)

_numbers = itertools.count()


class BrokenAnswers(ReplicaFault):
    """Another server is listed under the id of a replica; callers upload."""

    duration_factor = 2.0

    def begin(self) -> None:
        """List the server, and send requests that it may get."""
        self._broken = BrokenReplica()
        self._broken.answer = self.rng.choice(ANSWERS)
        self.target = f'{self.target}: {self._broken.answer}'
        self.world.register(self.replica, self._broken.start())
        self._callers = [
            gevent.spawn(self._send, random.Random(self.rng.random()))
            for _ in range(CALLERS)
        ]

    def end(self) -> None:
        """List the replica again."""
        gevent.killall(self._callers)
        self._broken.stop()
        self.world.register(self.replica, self.link.address)

    def _send(self, rng: random.Random) -> None:
        while not self.world.finished:
            entry = rng.choice(sorted(self.world.caller_links))
            upload(self.world, entry, rng.choice((SHORT, LONG)), rng)
            gevent.sleep(rng.uniform(0, MAX_PAUSE_S))


class OutOfStep(ReplicaFault):
    """An entry loses the store while replicas change their versions.

    One after the other starts again under its id at the other version.
    """

    duration_factor = 2.0

    def begin(self) -> None:
        """Cut the entry off and restart all replicas."""
        link = self.world.store_links[self.entry]
        link.refusing = True
        link.shut_down_connections()
        self.target = f'{self.entry}, {self.target}'
        count = len(self.world.replicas)
        for step in range(count):
            self._restart((self.number + step) % count)

    def end(self) -> None:
        """Let the entry reach the store again."""
        self.world.store_links[self.entry].refusing = False

    def _restart(self, number: int) -> None:
        link = self.world.replica_links[number]
        link.refusing = True
        link.reset()
        replica = self.world.replicas[number]
        replica.version = other_version(replica.version)
        gevent.sleep(self.rng.uniform(*RESTART_S))
        self.world.restart_under_same_id(number)


def upload(world: World, entry: str, body: bytes, rng: random.Random) -> None:
    """Send a request; record a success that is not the whole answer."""
    spec = RequestSpec('safe', '/safe/u', body)
    request_id = f'u{next(_numbers)}'
    headers = {
        'Host': HOST,
        'X-Attempt-Id': request_id,
        'X-Request-Deadline': str(DEADLINE_MS),
        **key_headers(world.record.organisations.draw_key(rng)),
    }
    conn = HTTPConnection(*world.caller_links[entry].address, timeout=TIMEOUT_S)
    with contextlib.closing(conn), contextlib.suppress(OSError, HTTPException):
        conn.request('POST', spec.target, body, headers)
        resp = conn.getresponse()
        found = resp.read()
        text = without_marks(found.decode('latin-1')).encode('latin-1')
        wanted = expected_body(spec, request_id)
        if resp.status == 200 and text != wanted:
            world.record.add_violation(
                'whole answer', f'{request_id} got {found[:80]!r}'
            )
