"""The replica of the soak; its output contains the request id."""

import math
import socket
import time
from collections.abc import Iterator
from typing import Any

import gevent

from cactusridge.http.exchange import HEADERS_KEY, TARGET_KEY
from soak.record import Record, RunEnd, RunStart, SilenceInterval
from soak.versions import version_mark
from standins.machines.replica import CallerLeft, MachineReplica, ResponseCut

HANG_S = 30
# Prefix of the ids in list entries that no replica has written.
STRAY = 'stray-'
# Prefix of the ids of requests whose events are large.
UNREAD = 'unread'
LARGE_EVENT = 'x' * (64 << 10)
# Seconds for which a replica works between two silences.
WORKS_S = 0.2


class SoakReplica(MachineReplica):
    """Records each run; ``grey`` is the share of requests that fail."""

    def __init__(self, replica_id: str, slots: int, record: Record) -> None:
        """Create a replica that records its runs in ``record``."""
        super().__init__(replica_id, slots)
        self.grey = float(0)
        self.grey_mode = 'errors'
        self.slow_factor = float(1)
        self._record = record
        self._count = 0

    def __call__(self, environ: dict[str, Any], start: Any) -> Any:
        """Serve one request, following the WSGI protocol."""
        headers = dict(environ[HEADERS_KEY])
        request_id = headers.get('X-Attempt-Id', '')
        expected = headers.get('X-Expect-Instance', '')
        sent = [(name.lower(), text) for name, text in environ[HEADERS_KEY]]
        names = ' '.join(text for name, text in sent if name == 'x-tenant')
        # A request without an id is a probe, which no replica runs.
        if expected == self.id and request_id:
            now = time.monotonic()
            run_start = RunStart(
                request_id,
                environ[TARGET_KEY],
                self.life,
                now,
                names,
                self.service,
            )
            self._record.run_starts.append(run_start)
        if any(key in str(sent) for key in self._record.organisations.owners):
            self._record.add_violation('keys stay', f'{request_id}: {sent}')
        if expected.startswith(STRAY):
            text = f'{request_id} was sent to {expected}'
            self._record.add_violation('unreadable names none', text)
        if expected == self.id:
            self._record_guilty(headers.get('X-Prompt-Prefix', ''))
        return super().__call__(environ, start)

    @property
    def life(self) -> str:
        """Return a name that is unique to the current incarnation."""
        return f'{self.id} born {self.born}'

    def text(self, request_id: str, number: int) -> str:
        """Return the data of event ``number``: request id, number, version."""
        if request_id.startswith(UNREAD):
            return LARGE_EVENT
        return f'{request_id}.{number}{version_mark(self.version)}'

    def plain(self, request_id: str, body: bytes) -> bytes:
        """Return the body of a response that is not streamed."""
        return f'{request_id} '.encode() + body

    def failure_status(self, request_id: str, body: bytes) -> str | None:
        """Return the status of a request that fails, None for one that runs."""
        status = super().failure_status(request_id, body)
        self._count += 1
        # Failures are spread evenly, so that the seed determines them.
        grey = math.modf(self._count * self.grey)[0] + self.grey >= 1
        if status is None and grey:
            if self.grey_mode == 'hang':
                # The sender has disconnected long before the response comes.
                gevent.sleep(HANG_S)
                return '500 Failed'
            status = '500 Failed'
        if status is not None and status.startswith('500'):
            self._record.failed_runs[request_id] += 1
        return status

    def step_s(self, requested_s: float) -> float:
        """Return the seconds that an event takes, given the requested ones."""
        return requested_s * self.slow_factor

    def fall_silent(self, seconds: float) -> None:
        """Fall silent, unless a silence lasts or has just ended.

        Silences that overlap would otherwise last longer than any of them.
        """
        now = time.monotonic()
        if now < self.silences.until_s + WORKS_S:
            return
        super().fall_silent(seconds)
        self._record.silences.append(
            SilenceInterval(self.id, now, now + seconds)
        )

    def _events(
        self,
        request_id: str,
        body: bytes,
        last: str,
        sock: socket.socket,
    ) -> Iterator[bytes]:
        life = self.life
        broken_off = False
        try:
            yield from super()._events(request_id, body, last, sock)
        except ResponseCut as exc:
            broken_off = not isinstance(exc, CallerLeft)
            raise
        finally:
            self._record.run_ends[request_id, life] = RunEnd(
                time.monotonic(), broken_off
            )

    def _record_guilty(self, listed: str) -> None:
        for entry in listed.split(',')[:-1]:
            crashes = self._record.guilty_parts.get(entry.partition(':')[0])
            if crashes is not None:
                crashes.append(time.monotonic())
