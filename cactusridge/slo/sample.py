"""Measures the latency and outcome of one response to a caller."""

from typing import NamedTuple

from cactusridge import metrics
from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError, CallerDisconnected
from cactusridge.settings.catalog import Service
from cactusridge.slo.recorder import SloRecorder

EVENT_MARK = b'data: '
SERVER_FAULT = 500
TOO_MANY = 429


class ResponseSample(NamedTuple):
    """One response: its outcome and its latencies in seconds.

    ``first_s`` is the time to the first byte, ``between_s`` the mean time
    between tokens; each is None if it was not measured.
    """

    good: bool
    first_s: float | None = None
    between_s: float | None = None


class ResponseTimer:
    """Measures one response and records it in the SLO counts."""

    def __init__(
        self,
        recorder: SloRecorder,
        service: Service,
        clock: Clock,
    ) -> None:
        """Start the clock; create it when the request arrives."""
        self._recorder = recorder
        self._service = service
        self._clock = clock
        self._started_at = clock.monotonic()
        self._first: float | None = None
        self._last = self._started_at
        self._tokens = 0

    def record_block(self, block: bytes) -> None:
        """Record the arrival of a block of a streamed response."""
        now = self._clock.monotonic()
        if self._first is None:
            self._first = now - self._started_at
            labels = {'service': self._service.path}
            metrics.TTFT.observe(labels, self._first)
        self._last = now
        self._tokens += block.count(EVENT_MARK)

    def record_complete(self, status: int) -> None:
        """Record a response that was sent completely."""
        good = status < SERVER_FAULT and status != TOO_MANY
        self._record('answered', good)

    def record_error(self, exc: CactusridgeError) -> None:
        """Record a request that was answered with the error ``exc``."""
        if isinstance(exc, CallerDisconnected):
            self.record_disconnect()
            return
        good = exc.status < SERVER_FAULT and exc.status != TOO_MANY
        self._record(exc.code, good)

    def record_disconnect(self) -> None:
        """Count a request whose caller disconnected as neither good nor bad."""
        self._count('abandoned')

    def _record(self, outcome: str, good: bool) -> None:
        self._count(outcome)
        sample = ResponseSample(good, self._first, self._between())
        self._recorder.record(self._service.path, sample)

    def _between(self) -> float | None:
        if self._first is None or self._tokens < 2:
            return None
        spent_s = self._last - self._started_at - self._first
        return spent_s / (self._tokens - 1)

    def _count(self, outcome: str) -> None:
        labels = {'service': self._service.path, 'outcome': outcome}
        metrics.REQUESTS.inc(labels)
