"""The platform's rows as the product's table, and its feed as a watch."""

import base64
from collections.abc import Iterable, Sequence
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

from cactusridge import wire
from cactusridge.errors import BadRequest, StoreUnavailable
from cactusridge.store.link import PlatformAnswer, PlatformLink
from cactusridge.store.store_clock import StoreClock
from cactusridge.store.table import (
    PAGE,
    Condition,
    ConditionFailed,
    Priority,
    Row,
    Table,
    Write,
    WriteUnknown,
)
from cactusridge.store.watch import HistoryLost, Snapshot, Watch
from cactusridge.work_meter import METER

RETRY_S = 0.5
ROW_KEY_PARTS = 2
# A watch is kept waiting by the store; the link waits this much longer.
MS = 1000
# Bytes of an unexpected answer that are shown in its error.
SHOWN = 200


class PlatformRows(Table, Watch):
    """Keys are ``table/part/key``; the part may be empty."""

    def __init__(
        self,
        link: PlatformLink,
        feeds: PlatformLink,
        store_clock: StoreClock,
    ) -> None:
        """Send calls over ``link``, those that wait for news over ``feeds``."""
        self.link = link
        self.feeds = feeds
        self._store_clock = store_clock

    def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        priority: Priority,
    ) -> int:
        """Apply all writes if all conditions hold; return the version."""
        keys = [each.key for each in (*conditions, *writes)]
        message = {
            'expected_rev': [
                {**_place(each.key), 'ver': each.version} for each in conditions
            ],
            'writes': [
                {**_place(each.key), 'value': _packed(each.value)}
                for each in writes
                if each.value is not None
            ],
            'remove': [
                _place(each.key) for each in writes if each.value is None
            ],
        }
        if len({_place(key)['part'] for key in keys}) > 1:
            message['across'] = True
        raw = wire.encode(message)
        METER.steps['rows_written'] += 1
        answer = self.link.call('POST', '/api/rows-tx', raw, priority)
        try:
            return self._version(answer)
        except (BadRequest, KeyError, TypeError) as exc:
            raise WriteUnknown(f'unreadable: {exc!r}') from exc

    def read(self, keys: Sequence[str], priority: Priority) -> list[Row]:
        """Return the rows at ``keys``, in that order."""
        return [self._read_one(key, priority) for key in keys]

    def scan(
        self,
        prefix: str,
        priority: Priority,
        after: str = '',
        limit: int = PAGE,
    ) -> list[Row]:
        """Return up to ``limit`` rows below ``prefix``, sorted by key."""
        return self._scan(prefix, priority, after, limit).rows

    def snapshot(self, prefixes: list[str]) -> Snapshot:
        """Return all rows below each of ``prefixes``."""
        found = [
            self._scan(prefix, Priority.lease, '', None) for prefix in prefixes
        ]
        rows = [row for each in found for row in each.rows]
        return Snapshot(rows, min(each.version for each in found))

    def changes(self, table: str, after: int, wait_s: float) -> Snapshot:
        """Return the rows of ``table`` that changed since ``after``."""
        asked = {'table': table, 'after': after, 'wait_ms': int(wait_s * MS)}
        path = f'/api/rows-feed?{urlencode(asked)}'
        METER.steps['feeds_asked'] += 1
        answer = self.feeds.ask('GET', path, b'', Priority.lease)
        if answer.status == HTTPStatus.GONE:
            raise HistoryLost
        return _snapshot(answer)

    def _version(self, answer: PlatformAnswer) -> int:
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            rows = wire.decode(answer.body)['rows']
            raise ConditionFailed([_row(each) for each in rows])
        if answer.status != HTTPStatus.OK:
            raise StoreUnavailable(
                f'the table answered {answer.status} {answer.body[:SHOWN]!r}',
                retry_after_s=RETRY_S,
            )
        return int(wire.decode(answer.body)['ver'])

    def _read_one(self, key: str, priority: Priority) -> Row:
        place = _place(key)
        name = place.pop('key')
        asked = {**place, 'from': name, 'to': f'{name}\0', 'limit': 1}
        found = self._get(asked, priority)
        return found.rows[0] if found.rows else Row(key, None, 0)

    def _scan(
        self,
        prefix: str,
        priority: Priority,
        after: str,
        limit: int | None,
    ) -> Snapshot:
        """Return rows below ``prefix``; without a limit, all of them."""
        place = _place(prefix)
        name = place.pop('key')
        start = f'{_place(after)["key"]}\0' if after else name
        rows: list[Row] = []
        version = None
        while True:
            asked: dict[str, Any] = {**place, 'from': start}
            if name:
                asked['to'] = f'{name[:-1]}{chr(ord(name[-1]) + 1)}'
            asked['limit'] = min(PAGE, (limit or PAGE) - len(rows) % PAGE)
            found = self._get(asked, priority)
            rows.extend(found.rows)
            version = found.version if version is None else version
            enough = limit is not None and len(rows) >= limit
            if enough or not found.more:
                return Snapshot(rows, version)
            start = f'{_place(rows[-1].key)["key"]}\0'

    def _get(self, asked: dict[str, Any], priority: Priority) -> '_Page':
        path = f'/api/rows-get?{urlencode(asked)}'
        METER.steps['rows_read'] += 1
        answer = self.link.ask('GET', path, b'', priority)
        snapshot = _snapshot(answer)
        said = wire.decode(answer.body)
        self._store_clock.note(said.get('now_ms', 0))
        return _Page(snapshot.rows, snapshot.version, bool(said['has_more']))


class _Page:
    """One answer to a read: rows, version, whether there are more."""

    def __init__(self, rows: list[Row], version: int, more: bool) -> None:
        self.rows = rows
        self.version = version
        self.more = more


def _snapshot(answer: PlatformAnswer) -> Snapshot:
    if answer.status != HTTPStatus.OK:
        raise StoreUnavailable(
            f'the table answered {answer.status}',
            retry_after_s=RETRY_S,
        )
    try:
        said = wire.decode(answer.body)
        return Snapshot(list(_rows(said['rows'])), int(said['ver']))
    except (BadRequest, LookupError, TypeError) as exc:
        raise StoreUnavailable(
            f'unreadable: {exc!r}',
            retry_after_s=RETRY_S,
        ) from exc


def _rows(entries: Iterable[dict[str, Any]]) -> Iterable[Row]:
    return map(_row, entries)


def _row(entry: dict[str, Any]) -> Row:
    key = '/'.join((entry['table'], entry.get('part', ''), entry['key']))
    packed = entry.get('value')
    gone = entry.get('deleted') or packed is None
    held = None if gone else wire.decode(base64.b64decode(packed))
    return Row(key, held, int(entry.get('ver', 0)))


def _place(key: str) -> dict[str, str]:
    table, part, name = key.split('/', ROW_KEY_PARTS)
    return {'table': table, 'part': part, 'key': name}


def _packed(held: Any) -> str:
    return base64.b64encode(wire.encode(held)).decode()
