"""Reads the strikes of all entries from a table that nobody watches."""

import contextlib

from cactusridge import events, logs
from cactusridge.errors import StoreUnavailable
from cactusridge.quarantine.strike_store import StrikeStore
from cactusridge.store.table import Priority, Table, scan_all
from cactusridge.store.unreadable import UnreadableRecord


class StrikePoll:
    """Passes the rows below a prefix on, each time it is asked to."""

    def __init__(self, table: Table, prefix: str, store: StrikeStore) -> None:
        """Pass them on to ``store``."""
        self._table = table
        self._prefix = prefix
        self._store = store

    def step(self) -> None:
        """Read everything once; the store may be away."""
        try:
            rows = list(scan_all(self._table, self._prefix, Priority.settings))
        except StoreUnavailable as exc:
            logs.emit(events.STRIKES_UNSAVED, error=str(exc))
            return
        self._store.keep_only({row.key for row in rows})
        for row in rows:
            # What cannot be read is logged by its reader; the others count.
            with contextlib.suppress(UnreadableRecord):
                self._store.put(row)
