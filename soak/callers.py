"""Callers that send online requests over connections they keep."""

import contextlib
import random
import socket
import time
from http.client import HTTPConnection, HTTPException, IncompleteRead
from http.client import HTTPResponse as Response
from typing import NamedTuple

import gevent

from soak.record import Call, CallEnd
from soak.world import World
from standins.machines.site import HOST

DEADLINE_MS = 5000
# Over the deadline by more than any answer may be late.
TIMEOUT_S = 8
MAX_EVENTS = 40
EVENT_S = 0.03
MAX_PAUSE_S = 0.4
LEAVING_SHARE = 0.05
LEAVES_AFTER_S = 0.2
MISSING_ROUTE_S = 0.1


class Ask(NamedTuple):
    """A request to send: its kind, target and body."""

    kind: str
    target: str
    body: bytes
    version: int | None = None


def expected_body(ask: Ask, request_id: str) -> bytes:
    """Return the whole answer that a replica gives."""
    if ask.body.startswith(b'plain'):
        return f'{request_id} '.encode() + ask.body
    count = int(ask.body.split()[0])
    events = (
        f'id: {number}\ndata: {request_id}.{number}\n\n'
        for number in range(1, count + 1)
    )
    return ''.join(events).encode()


class Caller:
    """Sends requests one after the other until the soak is over."""

    def __init__(self, world: World, name: str, seed: int) -> None:
        """Draw requests and entries by ``seed``."""
        self._world = world
        self._name = name
        self._rng = random.Random(seed)  # noqa: S311
        self._conn: HTTPConnection | None = None
        self._entry = ''
        self._count = 0
        self._left = False
        # The entry that was asked last, and from where.
        self._asked = ''
        self._local: tuple[str, int] = ('', 0)

    def run(self) -> None:
        """Send until the soak is over."""
        while not self._world.over:
            self.send(self._draw())
            gevent.sleep(self._rng.uniform(0, MAX_PAUSE_S))

    def send(self, ask: Ask) -> Call:
        """Send one request; note and return what came of it."""
        self._count += 1
        request_id = f'{self._name}-{self._count}'
        sent_at = time.monotonic()
        leaves = self._rng.random() < LEAVING_SHARE
        if leaves and ask.version is None:
            gevent.spawn_later(LEAVES_AFTER_S, self._leave, self._count)
        self._left = False
        end, resp, body = self._exchange(ask, request_id)
        link = self._world.caller_links[self._asked]
        if self._left:
            end = CallEnd.left
        elif resp is None and self._local in link.unreached:
            end = CallEnd.unreached
        call = Call(
            request_id,
            ask.kind,
            self._asked,
            sent_at,
            time.monotonic(),
            end,
            None if resp is None else resp.status,
            body,
            {} if resp is None else dict(resp.getheaders()),
            ask.version,
        )
        self._world.record.calls.append(call)
        self._check_answer(call, ask)
        return call

    def probe(self, entry: str) -> bool:
        """Tell whether an entry serves a request over a new connection."""
        self._drop()
        self._entry = entry
        ask = Ask('safe', '/safe/x', b'plain')
        return self.send(ask).status == 200

    def _draw(self) -> Ask:
        kind = self._rng.choice(('on', 'on', 'again', 'safe', 'version'))
        if kind == 'safe':
            return Ask(kind, '/safe/x', b'plain')
        if kind == 'version':
            version = self._world.version - self._rng.randrange(2)
            return Ask(kind, f'/v{version}/x', b'plain', version)
        count = self._rng.randint(1, MAX_EVENTS)
        body = f'{count} {EVENT_S}'.encode()
        return Ask(kind, f'/{kind}/a?b={count}', body)

    def _exchange(
        self,
        ask: Ask,
        request_id: str,
    ) -> tuple[CallEnd, Response | None, bytes]:
        headers = {
            'Host': HOST,
            'X-Attempt-Id': request_id,
            'X-Request-Deadline': str(DEADLINE_MS),
        }
        try:
            conn = self._connect()
            conn.request('POST', ask.target, ask.body, headers)
            resp = conn.getresponse()
        except TimeoutError:
            return self._broken(CallEnd.silent)
        except (OSError, HTTPException):
            return self._broken(CallEnd.closed)
        try:
            body = resp.read()
        except IncompleteRead as exc:
            self._drop()
            return CallEnd.cut, resp, exc.partial
        except (OSError, HTTPException):
            self._drop()
            return CallEnd.cut, resp, b''
        if resp.will_close:
            self._drop()
        return CallEnd.whole, resp, body

    def _broken(self, end: CallEnd) -> tuple[CallEnd, None, bytes]:
        self._drop()
        return end, None, b''

    def _connect(self) -> HTTPConnection:
        """Return the connection kept, or one to any entry."""
        if self._conn is None:
            names = sorted(self._world.caller_links)
            self._entry = self._entry or self._rng.choice(names)
            address = self._world.caller_links[self._entry].address
            self._conn = HTTPConnection(*address, timeout=TIMEOUT_S)
            self._conn.connect()
            self._local = self._conn.sock.getsockname()
        self._asked = self._entry
        return self._conn

    def _drop(self) -> None:
        if self._conn is not None:
            self._conn.close()
        self._conn = None
        self._entry = ''

    def _leave(self, number: int) -> None:
        """End the connection if request ``number`` is still under way."""
        sock = self._conn and self._conn.sock
        if number != self._count or sock is None:
            return
        self._left = True
        # Its own greenlet may be reading: shut, and let that close it.
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)

    def _check_answer(self, call: Call, ask: Ask) -> None:
        """Note an answer that is another's, unsigned or not whole."""
        if call.end != CallEnd.whole or call.status != 200:
            return
        record = self._world.record
        if call.body != expected_body(ask, call.id):
            record.broke('whole answer', f'{call.id} got {call.body[:80]!r}')
        if 'X-Response-Signature' not in call.headers:
            record.broke('whole answer', f'{call.id} is not signed')
