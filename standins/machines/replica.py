"""A replica of the machines: slots, streams, resumption, and faults."""

import time
from collections import Counter
from collections.abc import Callable, Iterator
from types import MappingProxyType
from typing import Any, NoReturn

import gevent
from gevent.lock import BoundedSemaphore

from cactusridge.http.exchange import HEADERS_KEY, TARGET_KEY

STEP_S = 0.01
CRASH = b'crash'
SILENT = b'silent'
# From the start of a run that ends its replica to that end.
CRASH_S = 0.03
NS_PER_MS = 1_000_000
FAILING = MappingProxyType(
    {
        b'impossible': '422 Unprocessable',
        b'failing': '500 Failed',
    },
)
Start = Any


class Cut(Exception):
    """The replica breaks its answer off."""


class MachineReplica:
    """Runs requests; keeps what it ran for the tests to look at.

    The body of a request is ``N`` or ``N EVENT_SECONDS``: so many events
    come, one each so many seconds. ``cut_after`` breaks the next streams
    off after so many events, in the middle of one. A body that has
    ``crash`` ends the replica soon after it has begun, before any event,
    and all that runs there with it; one that also has ``silent`` does so
    without a word on any connection. ``born`` is the Unix
    millisecond at which the present life began; what tests look at is
    counted over all lives.
    """

    def __init__(self, replica_id: str, slots: int) -> None:
        """Run as the process ``replica_id``."""
        self.id = replica_id
        self.born = time.time_ns() // NS_PER_MS
        self.runs: Counter[str] = Counter()
        self.seen: dict[str, dict[str, str]] = {}
        self.targets: list[str] = []
        self.cut_after: list[int] = []
        self.spoil: list[str] = []
        self.running = 0
        self.most = 0
        self.left = 0
        self.crashed: list[float] = []
        self._on_crash: Callable[[bool], None] | None = None
        self._slot_count = slots
        self._slots = BoundedSemaphore(slots)

    def __call__(self, environ: dict[str, Any], start: Start) -> Any:
        """Serve one request, as WSGI has it."""
        headers = dict(environ[HEADERS_KEY])
        request_id = headers.get('X-Attempt-Id', '')
        if headers.get('X-Expect-Instance') != self.id:
            return self._refuse(start, '421 Misdirected Request')
        if not request_id:
            return self._refuse(start, '400 Bad Request')
        body = environ['wsgi.input'].read()
        self.runs[request_id] += 1
        self.seen[request_id] = headers
        self.targets.append(environ[TARGET_KEY])
        answered = [
            ('X-Attempt-Id', request_id),
            ('X-Response-Signature', f'sig.{self.id}'),
        ]
        return self._answer(body, headers, answered, start)

    def on_crash(self, listener: Callable[[bool], None]) -> None:
        """Call ``listener`` when a request has ended the replica.

        It is told whether the connections fall silent or break.
        """
        self._on_crash = listener

    def restart(self) -> None:
        """Begin a life that knows nothing of what runs; that breaks off."""
        self.born = max(self.born + 1, time.time_ns() // NS_PER_MS)
        self.running = 0
        self._slots = BoundedSemaphore(self._slot_count)

    def text(self, request_id: str, number: int) -> str:
        """Return the data of an event."""
        return f'e{number}'

    def plain(self, request_id: str, body: bytes) -> bytes:
        """Return the body of a plain answer."""
        return body

    def failing(self, request_id: str, body: bytes) -> str | None:
        """Return the status of a run that fails, None for another."""
        return FAILING.get(body.partition(b' ')[0])

    def step_s(self, asked_s: float) -> float:
        """Return how long an event takes, in seconds."""
        return asked_s

    def _answer(
        self,
        body: bytes,
        headers: dict[str, str],
        answered: list[tuple[str, str]],
        start: Start,
    ) -> Any:
        request_id = answered[0][1]
        if CRASH in body and body.startswith(b'plain'):
            return self._crash(SILENT in body)
        status = self.failing(request_id, body)
        if status is not None:
            start(status, answered)
            return [body]
        if body.startswith(b'plain'):
            start('200 OK', answered)
            return [self.plain(request_id, body)]
        if self.spoil:
            wrong = self.spoil.pop(0)
            start('200 OK', [('X-Attempt-Id', wrong), answered[1]])
            return [b'spoiled']
        kind = ('Content-Type', 'text/event-stream')
        write = start('200 OK', [*answered, kind])
        last = headers.get('Last-Event-Id', '0')
        if CRASH in body:
            write(b'')
            return self._crash(SILENT in body)
        return self._events(request_id, body, last)

    def _crash(self, silent: bool) -> NoReturn:
        """End this life and everything that runs in it."""
        gevent.sleep(CRASH_S)
        self.crashed.append(time.monotonic())
        if self._on_crash is not None:
            self._on_crash(silent)
        raise Cut

    def _end(self, slots: BoundedSemaphore, whole: bool) -> None:
        self.running -= slots is self._slots
        self.left += not whole
        slots.release()

    def _refuse(self, start: Start, status: str) -> list[bytes]:
        start(status, [('X-Not-Executed', '1')])
        return [b'']

    def _events(
        self,
        request_id: str,
        body: bytes,
        last: str,
    ) -> Iterator[bytes]:
        count, _, gap = body.decode().partition(' ')
        cut_after = self.cut_after.pop(0) if self.cut_after else None
        slots = self._slots
        slots.acquire()
        self.running += slots is self._slots
        self.most = max(self.most, self.running)
        whole = False
        try:
            for number in range(int(last) + 1, int(count) + 1):
                gevent.sleep(self.step_s(float(gap or STEP_S)))
                if slots is not self._slots:
                    raise Cut
                if number == cut_after:
                    yield f'id: {number}\nda'.encode()
                    raise Cut
                text = self.text(request_id, number)
                yield f'id: {number}\ndata: {text}\n\n'.encode()
            whole = True
        finally:
            self._end(slots, whole)
