"""Callers that send online requests over persistent connections."""

import contextlib
import random
import socket
import time
from http.client import HTTPConnection, HTTPException, IncompleteRead
from http.client import HTTPResponse as Response
from typing import NamedTuple

import gevent

from soak.checks import check_one_version
from soak.organisations import key_headers
from soak.record import Call, CallEnd
from soak.versions import without_marks
from soak.world import World
from standins.machines.site import HOST

DEADLINE_MS = 5000
# Exceeds the deadline by more than the permitted delay of a response.
TIMEOUT_S = 8
MAX_EVENTS = 40
EVENT_S = 0.03
MAX_PAUSE_S = 0.4
# Kinds of requests whose answers are streams.
STREAMS = frozenset(('on', 'again'))
DISCONNECT_SHARE = 0.05
DISCONNECT_AFTER_S = 0.2


class RequestSpec(NamedTuple):
    """A request to send.

    ``version`` is the catalog version whose own route it calls, or None.
    ``key`` is the API key; if empty, the caller draws one.
    """

    kind: str
    target: str
    body: bytes
    version: int | None = None
    key: str = ''


def expected_body(spec: RequestSpec, request_id: str) -> bytes:
    """Return the complete response body that a replica sends."""
    if spec.body.startswith(b'plain'):
        return f'{request_id} '.encode() + spec.body
    count = int(spec.body.split()[0])
    events = (
        f'id: {number}\ndata: {request_id}.{number}\n\n'
        for number in range(1, count + 1)
    )
    return ''.join(events).encode()


class Caller:
    """Sends one request after another until the soak ends."""

    prefix = 'c'

    def __init__(self, world: World, name: str, seed: int) -> None:
        """Create a caller that draws requests and entries with ``seed``."""
        self._world = world
        self._name = name
        self._rng = random.Random(seed)  # noqa: S311
        self._conn: HTTPConnection | None = None
        self._entry = ''
        self._count = 0
        self._disconnected = False
        # The entry of the last request and the local address used for it.
        self._called_entry = ''
        self._local_address: tuple[str, int] = ('', 0)

    def run(self) -> None:
        """Send requests until the soak ends."""
        while not self._world.finished:
            gevent.sleep(self._pause_s(self.send(self._draw())))

    def send(self, spec: RequestSpec) -> Call:
        """Send one request; record and return its outcome."""
        self._count += 1
        organisations = self._world.record.organisations
        spec = spec._replace(key=spec.key or organisations.draw_key(self._rng))
        request_id = f'{self._name}-{self._count}'
        sent_at = time.monotonic()
        disconnects = self._rng.random() < DISCONNECT_SHARE
        if disconnects and spec.version is None:
            gevent.spawn_later(
                DISCONNECT_AFTER_S, self._disconnect, self._count
            )
        self._disconnected = False
        end, resp, body = self._exchange(spec, request_id)
        link = self._world.caller_links[self._called_entry]
        if self._disconnected:
            end = CallEnd.caller_closed
        elif resp is None and self._local_address in link.unforwarded_clients:
            end = CallEnd.unreached
        call = Call(
            request_id,
            spec.kind,
            self._called_entry,
            sent_at,
            time.monotonic(),
            end,
            None if resp is None else resp.status,
            body,
            {} if resp is None else dict(resp.getheaders()),
            spec.version,
            spec.key,
        )
        self._world.record.calls.append(call)
        self._check_answer(call, spec)
        return call

    def probe(self, entry: str) -> bool:
        """Return whether an entry serves a request on a new connection."""
        self._close()
        self._entry = entry
        spec = RequestSpec('safe', '/safe/x', b'plain')
        return self.send(spec).status == 200

    def _pause_s(self, call: Call) -> float:
        # Calls without a key ignore it, so that earlier seeds draw the same.
        retry_after_s = call.headers.get('Retry-After', 0) if call.key else 0
        return float(retry_after_s) or self._rng.uniform(0, MAX_PAUSE_S)

    def _draw(self) -> RequestSpec:
        kind = self._rng.choice(('on', 'on', 'again', 'safe', 'version'))
        if kind == 'safe':
            return RequestSpec(kind, '/safe/x', b'plain')
        if kind == 'version':
            version = self._world.version - self._rng.randrange(2)
            return RequestSpec(kind, f'/v{version}/x', b'plain', version)
        count = self._rng.randint(1, MAX_EVENTS)
        body = f'{count} {EVENT_S}'.encode()
        return RequestSpec(kind, f'/{kind}/a?b={count}', body)

    def _exchange(
        self,
        spec: RequestSpec,
        request_id: str,
    ) -> tuple[CallEnd, Response | None, bytes]:
        silent, cut = CallEnd.silent, CallEnd.cut
        try:
            resp = self._start(spec, request_id).getresponse()
        except TimeoutError:
            return self._without_response(self._end_of_gap(spec, silent))
        except (OSError, HTTPException):
            return self._without_response(CallEnd.closed)
        try:
            body = resp.read()
        except IncompleteRead as exc:
            self._close()
            return cut, resp, exc.partial
        except TimeoutError:
            self._close()
            return self._end_of_gap(spec, cut), resp, b''
        except (OSError, HTTPException):
            self._close()
            return cut, resp, b''
        if resp.will_close:
            self._close()
        return CallEnd.whole, resp, body

    def _start(self, spec: RequestSpec, request_id: str) -> HTTPConnection:
        headers = {
            'Host': HOST,
            'X-Attempt-Id': request_id,
            'X-Request-Deadline': str(DEADLINE_MS),
            **key_headers(spec.key),
        }
        conn = self._connect()
        gap_s = self._gap_s(spec)
        conn.sock.settimeout(gap_s or TIMEOUT_S)
        conn.request('POST', spec.target, spec.body, headers)
        return conn

    def _gap_s(self, spec: RequestSpec) -> float | None:
        """Return after which gap the caller leaves, None if it stays."""
        return self._world.gap_s if spec.kind in STREAMS else None

    def _end_of_gap(self, spec: RequestSpec, without_gap: CallEnd) -> CallEnd:
        """Return how a call ends in which nothing came for too long."""
        return CallEnd.caller_closed if self._gap_s(spec) else without_gap

    def _without_response(self, end: CallEnd) -> tuple[CallEnd, None, bytes]:
        self._close()
        return end, None, b''

    def _connect(self) -> HTTPConnection:
        """Return the open connection, or open one to a random entry."""
        if self._conn is None:
            names = sorted(self._world.caller_links)
            self._entry = self._entry or self._rng.choice(names)
            address = self._world.caller_links[self._entry].address
            self._conn = HTTPConnection(*address, timeout=TIMEOUT_S)
            self._conn.connect()
            self._local_address = self._conn.sock.getsockname()
        self._called_entry = self._entry
        return self._conn

    def _close(self) -> None:
        if self._conn is not None:
            self._conn.close()
        self._conn = None
        self._entry = ''

    def _disconnect(self, number: int) -> None:
        """Close the connection if request ``number`` is still in flight."""
        sock = self._conn and self._conn.sock
        if number != self._count or sock is None:
            return
        self._disconnected = True
        # Another greenlet may be reading from the socket. It is only shut down
        # here, and that greenlet closes it.
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)

    def _check_answer(self, call: Call, spec: RequestSpec) -> None:
        """Record a response that is wrong, incomplete or unsigned."""
        if call.end != CallEnd.whole or call.status != 200:
            return
        record = self._world.record
        text = call.body.decode('latin-1')
        if without_marks(text).encode('latin-1') != expected_body(
            spec, call.id
        ):
            record.add_violation(
                'whole answer', f'{call.id} got {call.body[:80]!r}'
            )
        check_one_version(record, call.id, [text])
        if 'X-Response-Signature' not in call.headers:
            record.add_violation('whole answer', f'{call.id} is not signed')
