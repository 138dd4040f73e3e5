"""Conditional writes whose outcome is determined even after a lost reply."""

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

# Number of retries of a write with an unknown outcome, and the pause between
# them in seconds. Together they last over a second, the longest time that the
# store may take to respond.
MAX_RETRIES = 8
RETRY_PAUSE_S = 0.15


class HoldLost(CactusridgeError):
    """Another entry is now the holder of the job."""

    status = 409
    code = 'hold_lost'


class ConditionalWriter:
    """Writes rows under conditions and resolves unknown outcomes."""

    def __init__(self, table: Table) -> None:
        """Write rows to ``table``."""
        self._table = table

    def write(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        write_mark: tuple[str, str] | None,
    ) -> int:
        """Write rows if the conditions hold; return their new version.

        The write is retried while its outcome is unknown. ``write_mark``
        is the key of a written row and the write id in it: if the
        conditions fail on a retry, the write id in the stored row shows
        whether an earlier attempt of this write succeeded.

        Raises HoldLost if the conditions fail for another reason,
        StoreUnavailable if nothing was written, and OutcomeUnknown if the
        outcome stays unknown.
        """
        try:
            return self._table.transact(conditions, writes, Priority.commit)
        except ConditionFailed as exc:
            raise HoldLost(str(exc)) from exc
        except WriteUnknown:
            return self._write_again(conditions, writes, write_mark)

    def _write_again(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        write_mark: tuple[str, str] | None,
    ) -> int:
        """Retry a write until its outcome is known; raise OutcomeUnknown."""
        for _ in range(MAX_RETRIES):
            gevent.sleep(RETRY_PAUSE_S)
            # Neither error shows the outcome of the earlier attempt.
            with contextlib.suppress(WriteUnknown, StoreUnavailable):
                return self._repeat(conditions, writes, write_mark)
        raise OutcomeUnknown(
            'the store did not confirm the write', retry_after_s=RETRY_PAUSE_S
        )

    def _repeat(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        write_mark: tuple[str, str] | None,
    ) -> int:
        try:
            return self._table.transact(conditions, writes, Priority.commit)
        except ConditionFailed as exc:
            return self._version_if_applied(writes, write_mark, exc)

    def _version_if_applied(
        self,
        writes: Sequence[Write],
        write_mark: tuple[str, str] | None,
        exc: ConditionFailed,
    ) -> int:
        key, write_id = write_mark or (writes[0].key, '')
        row = self._table.read([key], Priority.lease)[0]
        if row.unreadable:
            # Another writer may have replaced the row after this write
            # succeeded.
            raise OutcomeUnknown(f'the row {key} is unreadable') from exc
        found = row.value or {}
        applied = (
            found.get('write_id') == write_id
            if write_mark
            else (found == writes[0].value)
        )
        if not applied:
            raise HoldLost(str(exc)) from exc
        logs.emit(events.WRITE_RESOLVED, key=key)
        return row.version
