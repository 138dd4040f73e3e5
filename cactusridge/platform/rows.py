"""The platform's rows as a ``Table``, and its feed as a ``Watch``."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, NamedTuple
from urllib.parse import urlencode

from cactusridge import events, wire
from cactusridge.errors import BadRequest, StoreUnavailable
from cactusridge.platform.row_codec import (
    RETRY_S,
    Answer,
    key_fields,
    pack,
    parse_answer,
    parse_rows,
    unreadable_answer,
)
from cactusridge.store.fields import Fields
from cactusridge.store.link import PlatformAnswer, PlatformLink
from cactusridge.store.row_reports import RowReports
from cactusridge.store.store_clock import StoreClock
from cactusridge.store.table import (
    ABSENT,
    PAGE,
    CallRefused,
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

MS_PER_S = 1000
# Bytes or characters of an unexpected answer that an error or a log shows.
MAX_SHOWN = 200
# Statuses of a write that the store refuses for what it holds.
REFUSALS = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.FORBIDDEN,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.UNPROCESSABLE_ENTITY,
    )
)


class PlatformRows(Table, Watch):
    """Rows by the key ``table/part/key``, whose part may be empty."""

    def __init__(
        self,
        link: PlatformLink,
        feeds: PlatformLink,
        store_clock: StoreClock,
    ) -> None:
        """Send calls over ``link``, watches over ``feeds``."""
        self.link = link
        self.feeds = feeds
        self._store_clock = store_clock
        self._reports = RowReports(events.ROW_KEY_UNREADABLE)

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
                {**key_fields(each.key), 'ver': each.version}
                for each in conditions
            ],
            'writes': [
                {**key_fields(each.key), 'value': pack(each.value)}
                for each in writes
                if each.value is not None
            ],
            'remove': [
                key_fields(each.key) for each in writes if each.value is None
            ],
        }
        if len({key_fields(key)['part'] for key in keys}) > 1:
            message['across'] = True
        raw = wire.encode(message)
        METER.steps['rows_written'] += 1
        answer = self.link.call('POST', '/api/rows-tx', raw, priority)
        try:
            return self._version(answer)
        except UnreadableField as exc:
            raise WriteUnknown(f'unreadable: {exc!r}') from exc

    def read(self, keys: Sequence[str], priority: Priority) -> list[Row]:
        """Return the rows at ``keys`` in order; raise StoreUnavailable."""
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
        """Return all rows below ``prefixes`` and the oldest read version."""
        found = [
            self._scan(prefix, Priority.lease, '', None) for prefix in prefixes
        ]
        rows = [row for each in found for row in each.rows]
        return Snapshot(rows, min(each.version for each in found))

    def changes(self, table: str, after: int, wait_s: float) -> Snapshot:
        """Return rows changed after ``after``; wait for ``wait_s`` seconds.

        Raises HistoryLost if the store has dropped changes after ``after``.
        """
        query = {
            'table': table,
            'after': after,
            'wait_ms': int(wait_s * MS_PER_S),
        }
        path = f'/api/rows-feed?{urlencode(query)}'
        METER.steps['feeds_asked'] += 1
        answer = self.feeds.call_with_retry('GET', path, b'', Priority.lease)
        if answer.status == HTTPStatus.GONE:
            raise HistoryLost
        found = self._answer(_fields(answer))
        return Snapshot(found.rows, found.version)

    def _version(self, answer: PlatformAnswer) -> int:
        """Return a transaction's version; raise UnreadableField."""
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            rows, _ = parse_rows(_decoded(answer).items_of('rows'))
            raise ConditionFailed(rows)
        if answer.status != HTTPStatus.OK:
            is_refused = answer.status in REFUSALS
            kind = CallRefused if is_refused else StoreUnavailable
            raise kind(
                f'table status {answer.status}: {answer.body[:MAX_SHOWN]!r}',
                retry_after_s=RETRY_S,
            )
        return _decoded(answer).integer('ver')

    def _read_one(self, key: str, priority: Priority) -> Row:
        location = key_fields(key)
        name = location.pop('key')
        query = {**location, 'from': name, 'to': f'{name}\0', 'limit': 1}
        found = self._get(query, priority).answer
        if found.rows and found.rows[0].key == key:
            return found.rows[0]
        # An entry exists whose key differs or cannot be decoded. The row may
        # be that entry, so it must not count as absent.
        exists = bool(found.rows or found.unnamed)
        return Row(key, None, ABSENT, unreadable=exists)

    def _scan(
        self,
        prefix: str,
        priority: Priority,
        after: str,
        limit: int | None,
    ) -> Snapshot:
        """Return rows below ``prefix``: all of them without a ``limit``."""
        location = key_fields(prefix)
        name = location.pop('key')
        start = f'{key_fields(after)["key"]}\0' if after else name
        rows: list[Row] = []
        versions = []
        size = limit or PAGE
        while True:
            query: dict[str, Any] = {**location, 'from': start}
            if name:
                query['to'] = f'{name[:-1]}{chr(ord(name[-1]) + 1)}'
            query['limit'] = size
            found = self._get(query, priority)
            rows.extend(found.answer.rows)
            versions.append(found.answer.version)
            enough = limit is not None and len(rows) >= limit
            if enough or not found.more:
                return Snapshot(rows[:limit], versions[0])
            size = _next_size(size, found.answer, limit, len(rows))
            if rows:
                start = f'{key_fields(rows[-1].key)["key"]}\0'

    def _get(self, query: dict[str, Any], priority: Priority) -> '_Page':
        path = f'/api/rows-get?{urlencode(query)}'
        METER.steps['rows_read'] += 1
        fields = _fields(self.link.call_with_retry('GET', path, b'', priority))
        try:
            more = fields.flag('has_more')
            now_ms = fields.number('now_ms', None)
        except UnreadableField as exc:
            raise unreadable_answer(exc) from exc
        if now_ms is not None:
            self._store_clock.note(now_ms)
        return _Page(self._answer(fields), more)

    def _answer(self, fields: Fields) -> Answer:
        found = parse_answer(fields)
        for entry in found.unnamed:
            self._reports.report_once(
                repr(entry)[:MAX_SHOWN], ABSENT, 'invalid key'
            )
        return found


class _Page(NamedTuple):
    """The answer to one read, and whether the store has more rows."""

    answer: Answer
    more: bool


def _next_size(
    size: int,
    answer: Answer,
    limit: int | None,
    count: int,
) -> int:
    """Return how many rows to request after a page of ``size`` rows.

    The next page starts after the last row with a readable key. A page
    without any such row is therefore read again with the size PAGE; raises
    StoreUnavailable if it had that size already.
    """
    if answer.rows:
        return PAGE if limit is None else min(PAGE, limit - count)
    if size == PAGE:
        raise StoreUnavailable(
            'no row of a page has a readable key',
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
