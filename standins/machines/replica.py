"""A simulated replica with slots, event streams, resumption and faults."""

import socket
import time
from collections import Counter
from collections.abc import Callable, Iterator
from types import MappingProxyType
from typing import Any, NoReturn

import gevent
from gevent.lock import BoundedSemaphore

from cactusridge import wire
from cactusridge.http.exchange import HEADERS_KEY, SOCKET_KEY, TARGET_KEY
from standins.machines.silences import Silences

STEP_S = 0.01
REPORT = '/api/report'
CRASH = b'crash'
SILENT = b'silent'
UNMARKED_VERSION = '1'
MAIN_SERVICE = 'model'
# Seconds from the start of a crashing request until the replica crashes.
CRASH_DELAY_S = 0.03
NS_PER_MS = 1_000_000
FAILING = MappingProxyType(
    {
        b'impossible': '422 Unprocessable',
        b'failing': '500 Failed',
    },
)
Start = Any


class ResponseCut(Exception):
    """The replica closes the connection in the middle of a response."""


class CallerLeft(ResponseCut):
    """The caller has closed the connection while the replica was silent."""


class MachineReplica:
    """Runs requests and records them for the tests.

    The body of a request is ``N`` or ``N EVENT_SECONDS``: the replica sends
    ``N`` events, one every ``EVENT_SECONDS``. Each number in
    ``close_after_events`` closes one of the next streams in the middle of that
    event. Each id in ``wrong_request_ids`` replaces the request id in one of
    the next responses. A body that contains ``crash`` crashes the replica and
    all its requests shortly after the request starts, before any event; if the
    body also contains ``silent``, open connections stop carrying data instead
    of being closed. A request with one of ``crashing_parts`` among the parts of
    its prompt, the last one excepted, crashes the replica too. ``born`` is the
    start time of the current incarnation in Unix milliseconds, and ``version``
    that of its software, which the text of the events contains unless it is
    UNMARKED_VERSION. The recorded counts include all incarnations.

    After ``fall_silent`` the replica accepts connections and requests, but
    neither starts nor continues any work for some time, and answers nothing,
    probes included; see ``silences``. A request whose caller has left by the
    end of the silence is not continued. If ``full`` is set, the replica refuses
    every request.
    """

    service = MAIN_SERVICE
    full = False
    # Whether it states when it was started.
    reports = True

    def __init__(self, replica_id: str, slots: int) -> None:
        """Create the replica ``replica_id`` with ``slots`` slots."""
        self.id = replica_id
        self.born = time.time_ns() // NS_PER_MS
        self.version = UNMARKED_VERSION
        self.runs: Counter[str] = Counter()
        self.request_headers: dict[str, dict[str, str]] = {}
        self.targets: list[str] = []
        self.close_after_events: list[int] = []
        self.wrong_request_ids: list[str] = []
        self.crashing_parts: set[str] = set()
        self.running = 0
        self.max_running = 0
        self.incomplete_streams = 0
        self.crash_times_s: list[float] = []
        self._silences = Silences()
        self._work_times_s: dict[str, list[float]] = {}
        self._on_crash: Callable[[bool], None] | None = None
        self._slot_count = slots
        self._slots = BoundedSemaphore(slots)

    def __call__(self, environ: dict[str, Any], start: Start) -> Any:
        """Serve one request, following the WSGI protocol."""
        headers = dict(environ[HEADERS_KEY])
        request_id = headers.get('X-Attempt-Id', '')
        misdirected = headers.get('X-Expect-Instance') != self.id
        sock = environ[SOCKET_KEY]
        self._wait_silent(sock)
        if self.reports and environ[TARGET_KEY] == REPORT:
            return self._report(start)
        if misdirected:
            return self._refuse(start, '421 Misdirected Request')
        if not request_id:
            return self._refuse(start, '400 Bad Request')
        if self.full:
            return self._refuse(start, '503 Service Unavailable')
        body = environ['wsgi.input'].read()
        self._work(0, request_id, sock)
        self.runs[request_id] += 1
        self.request_headers[request_id] = headers
        self.targets.append(environ[TARGET_KEY])
        reply_headers = [
            ('X-Attempt-Id', request_id),
            ('X-Response-Signature', f'sig.{self.id}'),
        ]
        return self._respond(body, headers, reply_headers, start, sock)

    @property
    def silences(self) -> Silences:
        """The silences of this replica."""
        return self._silences

    def work_times_s(self, request_id: str) -> list[float]:
        """Return when a request was started and its events were made."""
        return self._work_times_s.get(request_id, [])

    def on_crash(self, listener: Callable[[bool], None]) -> None:
        """Call ``listener`` when a request has crashed the replica.

        Its argument is True if the open connections are to stop carrying data
        and False if they are to be closed.
        """
        self._on_crash = listener

    def fall_silent(self, seconds: float) -> None:
        """Send nothing and work on nothing for ``seconds`` from now."""
        self._silences.begin(seconds)

    def restart(self) -> None:
        """Start a new incarnation; running streams break off."""
        self.born = max(self.born + 1, time.time_ns() // NS_PER_MS)
        self.running = 0
        self._slots = BoundedSemaphore(self._slot_count)

    def text(self, request_id: str, number: int) -> str:
        """Return the data of event ``number``."""
        if self.version == UNMARKED_VERSION:
            return f'e{number}'
        return f'{self.version}.e{number}'

    def plain(self, request_id: str, body: bytes) -> bytes:
        """Return the body of a response that is not streamed."""
        return body

    def failure_status(self, request_id: str, body: bytes) -> str | None:
        """Return the status of a request that fails, None for one that runs."""
        return FAILING.get(body.partition(b' ')[0])

    def step_s(self, requested_s: float) -> float:
        """Return the seconds that an event takes, given the requested ones."""
        return requested_s

    def _report(self, start: Start) -> list[bytes]:
        """Return what the replica says of itself."""
        raw = wire.encode({'born': self.born, 'running': self.running})
        start('200 OK', [('Content-Type', 'application/json')])
        return [raw]

    def _respond(
        self,
        body: bytes,
        headers: dict[str, str],
        reply_headers: list[tuple[str, str]],
        start: Start,
        sock: socket.socket,
    ) -> Any:
        request_id = reply_headers[0][1]
        crashes = CRASH in body or self._has_crashing_part(headers)
        if crashes and body.startswith(b'plain'):
            return self._crash(SILENT in body)
        status = self.failure_status(request_id, body)
        if status is not None:
            start(status, reply_headers)
            return [body]
        if body.startswith(b'plain'):
            start('200 OK', reply_headers)
            return [self.plain(request_id, body)]
        if self.wrong_request_ids:
            wrong = self.wrong_request_ids.pop(0)
            start('200 OK', [('X-Attempt-Id', wrong), reply_headers[1]])
            return [b'spoiled']
        kind = ('Content-Type', 'text/event-stream')
        write = start('200 OK', [*reply_headers, kind])
        last = headers.get('Last-Event-Id', '0')
        if crashes:
            write(b'')
            return self._crash(SILENT in body)
        return self._events(request_id, body, last, sock)

    def _work(self, number: int, request_id: str, sock: socket.socket) -> None:
        """Wait while silent, then record the time of the work."""
        self._silences.begin_planned(number)
        self._wait_silent(sock)
        times_s = self._work_times_s.setdefault(request_id, [])
        times_s.append(time.monotonic())

    def _wait_silent(self, sock: socket.socket) -> None:
        """Wait while silent; raise CallerLeft if the caller left meanwhile."""
        if self._silences.is_left_in(sock):
            raise CallerLeft

    def _has_crashing_part(self, headers: dict[str, str]) -> bool:
        listed = headers.get('X-Prompt-Prefix', '').split(',')
        parts = {entry.partition(':')[0] for entry in listed[:-1]}
        return bool(parts & self.crashing_parts)

    def _crash(self, silent: bool) -> NoReturn:
        """Call the crash listener after a delay; always raise ResponseCut."""
        gevent.sleep(CRASH_DELAY_S)
        self.crash_times_s.append(time.monotonic())
        if self._on_crash is not None:
            self._on_crash(silent)
        raise ResponseCut

    def _finish(self, slots: BoundedSemaphore, complete: bool) -> None:
        self.running -= slots is self._slots
        self.incomplete_streams += not complete
        slots.release()

    def _refuse(self, start: Start, status: str) -> list[bytes]:
        start(status, [('X-Not-Executed', '1')])
        return [b'']

    def _events(
        self,
        request_id: str,
        body: bytes,
        last: str,
        sock: socket.socket,
    ) -> Iterator[bytes]:
        count, _, event_s = body.decode().partition(' ')
        close_after_events = (
            self.close_after_events.pop(0) if self.close_after_events else None
        )
        slots = self._slots
        slots.acquire()
        self.running += slots is self._slots
        self.max_running = max(self.max_running, self.running)
        complete = False
        try:
            for number in range(int(last) + 1, int(count) + 1):
                gevent.sleep(self.step_s(float(event_s or STEP_S)))
                self._work(number, request_id, sock)
                if slots is not self._slots:
                    raise ResponseCut
                if number == close_after_events:
                    yield f'id: {number}\nda'.encode()
                    raise ResponseCut
                text = self.text(request_id, number)
                yield f'id: {number}\ndata: {text}\n\n'.encode()
            complete = True
        finally:
            self._finish(slots, complete)
