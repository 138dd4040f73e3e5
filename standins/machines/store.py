"""The direct entry's store: rows, conditions, a feed, injectable faults."""

import base64
import time
from typing import Any, NamedTuple

import gevent
from gevent.event import Event

from cactusridge import wire
from cactusridge.http.app import App, Route, route
from cactusridge.http.exchange import Reply, Req, json_reply
from standins.close_connection import close_connection
from standins.machines.steady_clock import SteadyClock

MAX_BODY = 4 << 20
MS_PER_S = 1000
# Seconds after which a ``late`` write is applied.
LATE_S = 1.5
Place = tuple[str, str, str]


class StoredRow(NamedTuple):
    """A row: its value in base64, or None once removed, and its version."""

    packed: str | None
    ver: int


class MachineStore:
    """Serves the row requests of the store API and injects faults.

    Each write takes the next of ``faults``: ``lost before`` (not applied, no
    response), ``lost after`` (applied, no response) or ``late`` (no response;
    applied ``LATE_S`` seconds later if its conditions still hold).
    """

    def __init__(self) -> None:
        """Create an empty store without faults."""
        self.rows: dict[Place, StoredRow] = {}
        self.ver = 0
        self.oldest = 0
        self.down = False
        # Delay of each response, in seconds.
        self.response_delay_s = float(0)
        self.faults: list[str] = []
        self.clock = SteadyClock()
        self._changed = Event()
        self.app = App(self._routes(), MAX_BODY, 5)

    def put(self, place: Place, message: Any) -> None:
        """Write a row, as the operator or a replica does."""
        self.put_bytes(place, wire.encode(message))

    def put_bytes(self, place: Place, raw: bytes) -> None:
        """Write a row whose value need not be valid JSON."""
        self.put_encoded(place, base64.b64encode(raw).decode())

    def put_encoded(self, place: Place, encoded: str | None) -> None:
        """Write a row's encoded value; None removes the row."""
        self._apply([(place, encoded)])
        self._wake_watches()

    def encoded(self, place: Place) -> str | None:
        """Return a row's encoded value, or None if the row is absent."""
        stored = self.rows.get(place)
        return None if stored is None else stored.packed

    def remove(self, place: Place) -> None:
        """Remove a row."""
        self.put_encoded(place, None)

    def drop_history(self) -> None:
        """Drop the change history, so that every watch has to read all rows."""
        self.oldest = self.ver
        self._wake_watches()

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
        gevent.sleep(self.response_delay_s)
        fault = self.faults.pop(0) if self.faults else ''
        if fault:
            close_connection(req)
        if fault == 'late':
            gevent.spawn_later(LATE_S, self._apply_late, message)
            return json_reply({}, 503)
        if fault == 'lost before':
            return json_reply({}, 503)
        wrong = self._apply_if_unchanged(message)
        # Read before the watches are woken, because other writers may then
        # change the rows and the version.
        stamp = self._stamp()
        rows = [self._encoded_row(place) for place in wrong]
        self._wake_watches()
        if wrong:
            return json_reply({'rows': rows, **stamp}, 412)
        return json_reply(stamp)

    def _apply_late(self, message: Any) -> None:
        self._apply_if_unchanged(message)
        self._wake_watches()

    def _apply_if_unchanged(self, message: Any) -> list[Place]:
        """Apply a transaction if its conditions hold.

        Returns the places whose version differs; the list is empty if the
        transaction was applied.
        """
        wrong = [
            _place(each)
            for each in message['expected_rev']
            if self._version_at(_place(each)) != each['ver']
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
        gevent.sleep(self.response_delay_s)
        start, end = req.query('from'), req.query('to')
        found = sorted(
            place
            for place, stored in self.rows.items()
            if place[:2] == (req.query('table'), req.query('part'))
            and stored.packed is not None
            and place[2] >= start
            and (not end or place[2] < end)
        )
        limit = int(req.query('limit', '500'))
        encoded = [self._encoded_row(place) for place in found[:limit]]
        more = len(found) > limit
        return json_reply({'rows': encoded, 'has_more': more, **self._stamp()})

    def _feed(self, req: Req) -> Reply:
        after = int(req.query('after'))
        until = time.monotonic() + int(req.query('wait_ms', '0')) / MS_PER_S
        while True:
            if self.down:
                return json_reply({}, 503)
            if after < self.oldest:
                return json_reply({}, 410)
            rows = self._changed_since(req.query('table'), after)
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return json_reply({'rows': rows, **self._stamp()})
            self._changed.wait(left_s)

    def _changed_since(self, table: str, after: int) -> list[dict[str, Any]]:
        newer = sorted(
            (stored.ver, place)
            for place, stored in self.rows.items()
            if place[0] == table and stored.ver > after
        )
        return [self._encoded_row(place) for _, place in newer]

    def _apply(self, changes: list[tuple[Place, str | None]]) -> None:
        self.ver += 1
        for place, packed in changes:
            self.rows[place] = StoredRow(packed, self.ver)

    def _wake_watches(self) -> None:
        self._changed.set()
        gevent.sleep(0)
        self._changed.clear()

    def _version_at(self, place: Place) -> int:
        stored = self.rows.get(place)
        return 0 if stored is None or stored.packed is None else stored.ver

    def _encoded_row(self, place: Place) -> dict[str, Any]:
        stored = self.rows.get(place, StoredRow(None, 0))
        encoded = dict(zip(('table', 'part', 'key'), place, strict=True))
        encoded['ver'] = stored.ver
        if stored.packed is None:
            return {**encoded, 'deleted': True}
        return {**encoded, 'value': stored.packed}

    def _stamp(self) -> dict[str, int]:
        return {'ver': self.ver, 'now_ms': self.clock.now_ms()}


def _place(raw: dict[str, Any]) -> Place:
    return raw['table'], raw.get('part', ''), raw['key']
