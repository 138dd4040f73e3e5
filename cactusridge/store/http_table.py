"""Client of the platform's table service over HTTP."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

from cactusridge import events, wire
from cactusridge.errors import StoreUnavailable
from cactusridge.store.link import PlatformAnswer, PlatformLink
from cactusridge.store.replies import (
    RowsReply,
    UnreadableReply,
    VersionReply,
    parse_reply,
    rows_in,
)
from cactusridge.store.row_reports import RowReports
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
    by_key,
)

RETRY_S = 1


class HttpTable(Table):
    """A table that is read and written over HTTP."""

    def __init__(self, link: PlatformLink) -> None:
        """Send every call through ``link``."""
        self.link = link
        self._reports = RowReports(events.ROW_KEY_UNREADABLE)

    def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        priority: Priority,
    ) -> int:
        """Apply all writes if all conditions hold; return the version.

        Raises ConditionFailed, StoreUnavailable (nothing was applied) or
        WriteUnknown (the writes may have been applied).
        """
        message = {
            'conditions': list(map(list, conditions)),
            'writes': list(map(list, writes)),
        }
        answer = self.link.call(
            'POST',
            '/table/transact',
            wire.encode(message),
            priority,
        )
        try:
            return self._version(answer)
        except UnreadableReply as exc:
            raise WriteUnknown(str(exc)) from exc

    def read(self, keys: Sequence[str], priority: Priority) -> list[Row]:
        """Return the rows at ``keys``, in that order."""
        found = by_key(self._rows('/table/read', {'keys': keys}, priority))
        # A key that the reply does not name is marked unreadable: the reply
        # does not say that the row is absent.
        return [
            found.get(key, Row(key, None, ABSENT, unreadable=True))
            for key in keys
        ]

    def scan(
        self,
        prefix: str,
        priority: Priority,
        after: str = '',
        limit: int = PAGE,
    ) -> list[Row]:
        """Return up to ``limit`` rows below ``prefix``, sorted by key."""
        message = {'prefix': prefix, 'after': after, 'limit': limit}
        return self._rows('/table/scan', message, priority)

    def _version(self, answer: PlatformAnswer) -> int:
        if answer.status == HTTPStatus.CONFLICT:
            found = parse_reply(RowsReply, answer.body).rows
            raise ConditionFailed(list(rows_in(found)))
        if answer.status != HTTPStatus.OK:
            # The service rejects a transaction as a whole: no write of it
            # was applied.
            raise StoreUnavailable(
                f'the table service returned status {answer.status}',
                retry_after_s=RETRY_S,
            )
        return parse_reply(VersionReply, answer.body).version

    def _rows(
        self,
        path: str,
        message: dict[str, Any],
        priority: Priority,
    ) -> list[Row]:
        raw = wire.encode(message)
        answer = self.link.call_with_retry('POST', path, raw, priority)
        try:
            found = parse_reply(RowsReply, answer.body).rows
        except UnreadableReply as exc:
            raise StoreUnavailable(str(exc), retry_after_s=RETRY_S) from exc
        rows = list(rows_in(found))
        if len(rows) != len(found):
            lost = len(found) - len(rows)
            self._reports.report_once(
                path, lost, f'{lost} entries of the reply have no key'
            )
        return rows
