"""A watch with scripted answers, and a listener that keeps rows."""

from cactusridge.store.table import Row
from cactusridge.store.table_follower import TableListener
from cactusridge.store.watch import Snapshot, Watch


class ScriptedWatch(Watch):
    """Returns the configured rows or failures, and records its calls."""

    def __init__(self) -> None:
        """Start with no rows and no failures."""
        self.rows: list[Row] = []
        self.failures: list[Exception] = []
        self.asked: list[str] = []
        self.version = 1

    def snapshot(self, prefixes):
        """Return the configured rows as a snapshot."""
        self.asked.append('all')
        return self._answer()

    def changes(self, table, after, wait_s):
        """Return the configured rows as changes."""
        self.asked.append(f'after {after}')
        return self._answer()

    def _answer(self):
        if self.failures:
            raise self.failures.pop(0)
        return Snapshot(self.rows, self.version)


class Rows(TableListener):
    """A listener that keeps rows by key."""

    def __init__(self) -> None:
        """Start with no rows."""
        self.rows: dict[str, Row] = {}

    def put(self, row):
        """Keep a row."""
        self.rows[row.key] = row

    def retain(self, keys):
        """Remove the rows whose keys are not in ``keys``."""
        self.rows = {key: row for key, row in self.rows.items() if key in keys}
