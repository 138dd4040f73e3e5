"""Polls the strikes of all entries from a table without a watch."""

import contextlib

from cactusridge import events, logs
from cactusridge.errors import StoreUnavailable
from cactusridge.quarantine.strike_store import StrikeStore
from cactusridge.store.table import Priority, Table, scan_all
from cactusridge.store.unreadable import UnreadableRecord


class StrikePoll:
    """Passes all rows below a prefix to the strike store at each poll."""

    def __init__(self, table: Table, prefix: str, store: StrikeStore) -> None:
        """Poll ``table`` below ``prefix`` for ``store``."""
        self._table = table
        self._prefix = prefix
        self._store = store

    def step(self) -> None:
        """Read all rows once; log a warning if the store is unavailable."""
        try:
            rows = list(scan_all(self._table, self._prefix, Priority.settings))
        except StoreUnavailable as exc:
            logs.emit(events.STRIKES_UNSAVED, error=str(exc))
            return
        self._store.retain({row.key for row in rows})
        for row in rows:
            # The reader logs an unreadable row; the other rows are still used.
            with contextlib.suppress(UnreadableRecord):
                self._store.put(row)
