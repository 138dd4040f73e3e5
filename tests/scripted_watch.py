"""A watch that answers as it is told, and a listener that keeps rows."""

from cactusridge.store.table import Row
from cactusridge.store.table_follower import TableListener
from cactusridge.store.watch import Snapshot, Watch


class ScriptedWatch(Watch):
    """Answers as it is told, and keeps what it was asked."""

    def __init__(self) -> None:
        """Answer with nothing new at first."""
        self.rows: list[Row] = []
        self.failures: list[Exception] = []
        self.asked: list[str] = []
        self.version = 1

    def snapshot(self, prefixes):
        """Return all rows."""
        self.asked.append('all')
        return self._answer()

    def changes(self, table, after, wait_s):
        """Return the rows as changes."""
        self.asked.append(f'after {after}')
        return self._answer()

    def _answer(self):
        if self.failures:
            raise self.failures.pop(0)
        return Snapshot(self.rows, self.version)


class Rows(TableListener):
    """Keeps rows by key."""

    def __init__(self) -> None:
        """Start with none."""
        self.rows: dict[str, Row] = {}

    def put(self, row):
        """Keep a row."""
        self.rows[row.key] = row

    def retain(self, keys):
        """Forget the others."""
        self.rows = {key: row for key, row in self.rows.items() if key in keys}
