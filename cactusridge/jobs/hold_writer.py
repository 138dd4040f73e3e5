"""Writes that hold only as long as nobody else has written."""

import contextlib
from collections.abc import Sequence

import gevent

from cactusridge import events, logs
from cactusridge.errors import (
    CactusridgeError,
    OutcomeUnknown,
    StoreUnavailable,
)
from cactusridge.store.table import (
    Condition,
    ConditionFailed,
    Priority,
    Table,
    Write,
    WriteUnknown,
)

# Tries and the pause between them, in seconds, until an unknown outcome
# is known: over a second, as long as the store may take to answer.
TRIES = 8
PAUSE_S = 0.15


class HoldLost(CactusridgeError):
    """Another entry holds the job now."""

    status = 409
    code = 'hold_lost'


class HoldWriter:
    """Writes under conditions and finds out what became of a write."""

    def __init__(self, table: Table) -> None:
        """Write to ``table``."""
        self._table = table

    def write(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        mark: tuple[str, str] | None,
    ) -> int:
        """Write under conditions, again while the outcome is unknown.

        ``mark`` is the key of a row and the write id put there: if a
        repeat finds the condition broken, it tells whether an earlier
        try of this very write broke it.
        """
        try:
            return self._table.transact(conditions, writes, Priority.commit)
        except ConditionFailed as exc:
            raise HoldLost(str(exc)) from exc
        except WriteUnknown:
            return self._write_again(conditions, writes, mark)

    def _write_again(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        mark: tuple[str, str] | None,
    ) -> int:
        """Repeat a write whose outcome is unknown until it is known."""
        for _ in range(TRIES):
            gevent.sleep(PAUSE_S)
            # Neither says what became of the earlier try.
            with contextlib.suppress(WriteUnknown, StoreUnavailable):
                return self._repeat(conditions, writes, mark)
        raise OutcomeUnknown('the store did not say', retry_after_s=PAUSE_S)

    def _repeat(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        mark: tuple[str, str] | None,
    ) -> int:
        try:
            return self._table.transact(conditions, writes, Priority.commit)
        except ConditionFailed as exc:
            return self._version_if_mine(writes, mark, exc)

    def _version_if_mine(
        self,
        writes: Sequence[Write],
        mark: tuple[str, str] | None,
        exc: ConditionFailed,
    ) -> int:
        key, write_id = mark or (writes[0].key, '')
        row = self._table.read([key], Priority.lease)[0]
        if row.unreadable:
            # It may have been written over after this write took effect.
            raise OutcomeUnknown(f'{key} cannot be read') from exc
        found = row.value or {}
        mine = (
            found.get('write_id') == write_id
            if mark
            else (found == writes[0].value)
        )
        if not mine:
            raise HoldLost(str(exc)) from exc
        logs.emit(events.WRITE_RESOLVED, key=key)
        return row.version
