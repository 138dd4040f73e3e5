"""The machines' store: rows, conditions, a feed, and faults to order."""

import base64
import time
from typing import Any, NamedTuple

import gevent
from gevent.event import Event

from cactusridge import wire
from cactusridge.http.app import App, Route, route
from cactusridge.http.exchange import Reply, Req, json_reply
from standins.severing import sever

MAX_BODY = 4 << 20
MS = 1000
# When a late write is done, in seconds.
LATE_S = 1.5
Place = tuple[str, str, str]


class Held(NamedTuple):
    """A row: its packed value, or None once removed, and its version."""

    packed: str | None
    ver: int


class MachineStore:
    """Serves the calls about rows; ``faults`` meet the next writes.

    They are ``lost before`` (not done, no answer), ``lost after`` (done,
    no answer) and ``late`` (no answer, done a while later if its
    conditions still hold).
    """

    def __init__(self) -> None:
        """Start empty."""
        self.rows: dict[Place, Held] = {}
        self.ver = 0
        self.oldest = 0
        self.down = False
        # Seconds that each answer takes.
        self.slow_s = float(0)
        self.faults: list[str] = []
        self._changed = Event()
        self.app = App(self._routes(), MAX_BODY, 5)

    def put(self, place: Place, message: Any) -> None:
        """Write a row as the operator or a replica does."""
        self.put_bytes(place, wire.encode(message))

    def put_bytes(self, place: Place, raw: bytes) -> None:
        """Write a row whose value need not be a message."""
        self.put_packed(place, base64.b64encode(raw).decode())

    def put_packed(self, place: Place, packed: str | None) -> None:
        """Write a row's value as it is answered; None removes the row."""
        self._apply([(place, packed)])
        self._wake()

    def packed(self, place: Place) -> str | None:
        """Return a row's value as it is answered; None if it is not there."""
        held = self.rows.get(place)
        return None if held is None else held.packed

    def remove(self, place: Place) -> None:
        """Remove a row."""
        self.put_packed(place, None)

    def forget_history(self) -> None:
        """Drop all changes, so that every watch has to read anew."""
        self.oldest = self.ver
        self._wake()

    def _routes(self) -> list[Route]:
        return [
            route('POST', '/api/rows-tx', self._transact),
            route('GET', '/api/rows-get', self._get),
            route('GET', '/api/rows-feed', self._feed),
        ]

    def _transact(self, req: Req) -> Reply:
        message = req.json()
        if self.down:
            return json_reply({}, 503)
        gevent.sleep(self.slow_s)
        fault = self.faults.pop(0) if self.faults else ''
        if fault:
            sever(req)
        if fault == 'late':
            gevent.spawn_later(LATE_S, self._perform_late, message)
            return json_reply({}, 503)
        if fault == 'lost before':
            return json_reply({}, 503)
        wrong = self._perform(message)
        # Of this very moment: waking the watches lets others write.
        stamp = self._stamp()
        rows = [self._shown(place) for place in wrong]
        self._wake()
        if wrong:
            return json_reply({'rows': rows, **stamp}, 412)
        return json_reply(stamp)

    def _perform_late(self, message: Any) -> None:
        self._perform(message)
        self._wake()

    def _perform(self, message: Any) -> list[Place]:
        """Apply a transaction; return the places whose version is wrong."""
        wrong = [
            _place(each)
            for each in message['expected_rev']
            if self._ver(_place(each)) != each['ver']
        ]
        if not wrong:
            self._apply(
                [
                    *((_place(row), row['value']) for row in message['writes']),
                    *((_place(row), None) for row in message['remove']),
                ],
            )
        return wrong

    def _get(self, req: Req) -> Reply:
        if self.down:
            return json_reply({}, 503)
        gevent.sleep(self.slow_s)
        start, end = req.query('from'), req.query('to')
        found = sorted(
            place
            for place, held in self.rows.items()
            if place[:2] == (req.query('table'), req.query('part'))
            and held.packed is not None
            and place[2] >= start
            and (not end or place[2] < end)
        )
        limit = int(req.query('limit', '500'))
        shown = [self._shown(place) for place in found[:limit]]
        more = len(found) > limit
        return json_reply({'rows': shown, 'has_more': more, **self._stamp()})

    def _feed(self, req: Req) -> Reply:
        after = int(req.query('after'))
        until = time.monotonic() + int(req.query('wait_ms', '0')) / MS
        while True:
            if self.down:
                return json_reply({}, 503)
            if after < self.oldest:
                return json_reply({}, 410)
            rows = self._since(req.query('table'), after)
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return json_reply({'rows': rows, **self._stamp()})
            self._changed.wait(left_s)

    def _since(self, table: str, after: int) -> list[dict[str, Any]]:
        newer = sorted(
            (held.ver, place)
            for place, held in self.rows.items()
            if place[0] == table and held.ver > after
        )
        return [self._shown(place) for _, place in newer]

    def _apply(self, changes: list[tuple[Place, str | None]]) -> None:
        self.ver += 1
        for place, packed in changes:
            self.rows[place] = Held(packed, self.ver)

    def _wake(self) -> None:
        self._changed.set()
        gevent.sleep(0)
        self._changed.clear()

    def _ver(self, place: Place) -> int:
        held = self.rows.get(place)
        return 0 if held is None or held.packed is None else held.ver

    def _shown(self, place: Place) -> dict[str, Any]:
        held = self.rows.get(place, Held(None, 0))
        shown = dict(zip(('table', 'part', 'key'), place, strict=True))
        shown['ver'] = held.ver
        if held.packed is None:
            return {**shown, 'deleted': True}
        return {**shown, 'value': held.packed}

    def _stamp(self) -> dict[str, int]:
        return {'ver': self.ver, 'now_ms': int(time.monotonic() * MS)}


def _place(raw: dict[str, Any]) -> Place:
    return raw['table'], raw.get('part', ''), raw['key']
