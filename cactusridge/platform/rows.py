"""The platform's rows as the product's table, and its feed as a watch."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import urlencode

from cactusridge import events, wire
from cactusridge.errors import BadRequest, StoreUnavailable
from cactusridge.platform.row_codec import (
    RETRY_S,
    Answer,
    answer_in,
    packed_of,
    place_of,
    rows_in,
    unreadable_answer,
)
from cactusridge.store.fields import Fields
from cactusridge.store.link import PlatformAnswer, PlatformLink
from cactusridge.store.row_reports import RowReports
from cactusridge.store.store_clock import StoreClock
from cactusridge.store.table import (
    ABSENT,
    PAGE,
    Condition,
    ConditionFailed,
    Priority,
    Row,
    Table,
    Write,
    WriteUnknown,
)
from cactusridge.store.unreadable import UnreadableField
from cactusridge.store.watch import HistoryLost, Snapshot, Watch
from cactusridge.work_meter import METER

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
        self._reports = RowReports(events.ROW_UNNAMED)

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
                {**place_of(each.key), 'ver': each.version}
                for each in conditions
            ],
            'writes': [
                {**place_of(each.key), 'value': packed_of(each.value)}
                for each in writes
                if each.value is not None
            ],
            'remove': [
                place_of(each.key) for each in writes if each.value is None
            ],
        }
        if len({place_of(key)['part'] for key in keys}) > 1:
            message['across'] = True
        raw = wire.encode(message)
        METER.steps['rows_written'] += 1
        answer = self.link.call('POST', '/api/rows-tx', raw, priority)
        try:
            return self._version(answer)
        except UnreadableField as exc:
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
        found = self._answer(_fields(answer))
        return Snapshot(found.rows, found.version)

    def _version(self, answer: PlatformAnswer) -> int:
        """Return a transaction's version; raise UnreadableField."""
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            rows, _ = rows_in(_decoded(answer).listed('rows'))
            raise ConditionFailed(rows)
        if answer.status != HTTPStatus.OK:
            raise StoreUnavailable(
                f'the table answered {answer.status} {answer.body[:SHOWN]!r}',
                retry_after_s=RETRY_S,
            )
        return _decoded(answer).whole('ver')

    def _read_one(self, key: str, priority: Priority) -> Row:
        place = place_of(key)
        name = place.pop('key')
        asked = {**place, 'from': name, 'to': f'{name}\0', 'limit': 1}
        found = self._get(asked, priority).answer
        if found.rows and found.rows[0].key == key:
            return found.rows[0]
        # Something is there that does not say its place: nobody may take
        # the row for absent.
        there = bool(found.rows or found.unnamed)
        return Row(key, None, ABSENT, unreadable=there)

    def _scan(
        self,
        prefix: str,
        priority: Priority,
        after: str,
        limit: int | None,
    ) -> Snapshot:
        """Return rows below ``prefix``; without a limit, all of them."""
        place = place_of(prefix)
        name = place.pop('key')
        start = f'{place_of(after)["key"]}\0' if after else name
        rows: list[Row] = []
        versions = []
        size = limit or PAGE
        while True:
            asked: dict[str, Any] = {**place, 'from': start}
            if name:
                asked['to'] = f'{name[:-1]}{chr(ord(name[-1]) + 1)}'
            asked['limit'] = size
            found = self._get(asked, priority)
            rows.extend(found.answer.rows)
            versions.append(found.answer.version)
            enough = limit is not None and len(rows) >= limit
            if enough or not found.more:
                return Snapshot(rows[:limit], versions[0])
            size = _next_size(size, found.answer, limit, len(rows))
            if rows:
                start = f'{place_of(rows[-1].key)["key"]}\0'

    def _get(self, asked: dict[str, Any], priority: Priority) -> '_Page':
        path = f'/api/rows-get?{urlencode(asked)}'
        METER.steps['rows_read'] += 1
        fields = _fields(self.link.ask('GET', path, b'', priority))
        try:
            more = fields.flag('has_more')
            now_ms = fields.number('now_ms', None)
        except UnreadableField as exc:
            raise unreadable_answer(exc) from exc
        if now_ms is not None:
            self._store_clock.note(now_ms)
        return _Page(self._answer(fields), more)

    def _answer(self, fields: Fields) -> Answer:
        found = answer_in(fields)
        for entry in found.unnamed:
            self._reports.note(repr(entry)[:SHOWN], ABSENT, 'it has no place')
        return found


class _Page(NamedTuple):
    """One answer to a read, and whether there are more rows."""

    answer: Answer
    more: bool


def _next_size(
    size: int,
    answer: Answer,
    limit: int | None,
    count: int,
) -> int:
    """Return how many rows to ask for after a page of ``size``.

    A page begins after the last row that could be named, so one of
    nothing but unnamed entries is asked for again, as long as can be.
    """
    if answer.rows:
        return PAGE if limit is None else min(PAGE, limit - count)
    if size == PAGE:
        raise StoreUnavailable(
            'a page without a row that can be named',
            retry_after_s=RETRY_S,
        )
    return PAGE


def _fields(answer: PlatformAnswer) -> Fields:
    """Return the fields of an answer; raise StoreUnavailable."""
    if answer.status != HTTPStatus.OK:
        raise StoreUnavailable(
            f'the table answered {answer.status}',
            retry_after_s=RETRY_S,
        )
    try:
        return _decoded(answer)
    except UnreadableField as exc:
        raise unreadable_answer(exc) from exc


def _decoded(answer: PlatformAnswer) -> Fields:
    """Return the fields of an answer; raise UnreadableField."""
    try:
        return Fields(wire.decode(answer.body))
    except BadRequest as exc:
        raise UnreadableField(str(exc)) from exc
