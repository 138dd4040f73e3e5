"""Callers that send too much, and callers that do not read."""

from http.client import HTTPConnection

import gevent

from soak.callers import Caller, RequestSpec
from soak.organisations import GREEDY, GREEDY_KEY
from soak.record import Call
from soak.replica import UNREAD

SHORT = RequestSpec('on', '/on/short', b'1 0.01', key=GREEDY_KEY)
# Events of 64 KB, which exceed the socket buffers between replica and caller.
LARGE = RequestSpec('on', '/on/large', b'256 0.001')
MAX_GREEDY_PAUSE_S = 0.15
# Share of the pauses that follow Retry-After.
PATIENT_SHARE = 0.02
# Shorter and longer than the 10 s after which an entry drops such a caller.
UNREAD_S = (1, 12)


class GreedyCaller(Caller):
    """Sends short requests at a high rate and sometimes waits as told."""

    prefix = GREEDY

    def _draw(self) -> RequestSpec:
        return SHORT

    def _pause_s(self, call: Call) -> float:
        if self._rng.random() < PATIENT_SHARE:
            return super()._pause_s(call)
        return self._rng.uniform(0, MAX_GREEDY_PAUSE_S)


class UnreadCaller(Caller):
    """Asks for large streams and closes the connections without reading."""

    prefix = UNREAD

    def _draw(self) -> RequestSpec:
        return LARGE

    def _start(self, spec: RequestSpec, request_id: str) -> HTTPConnection:
        conn = super()._start(spec, request_id)
        gevent.sleep(self._rng.uniform(*UNREAD_S))
        self._disconnected = True
        conn.close()
        return conn


# Several send too much, also while one of them waits for a suspended entry.
KINDS = (*(GreedyCaller,) * 4, UnreadCaller)
