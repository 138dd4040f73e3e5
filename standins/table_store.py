"""An in-memory table of versioned rows with a history of commits."""

import bisect
import time
from typing import Any

Row = tuple[str, Any, int]


class TableStore:
    """The table of the platform stand-in; it records every commit."""

    def __init__(self) -> None:
        """Create an empty table at version 0."""
        self.rows: dict[str, tuple[Any, int]] = {}
        self.keys: list[str] = []
        self.version = 0
        self.history: list[dict[str, Any]] = []

    def row(self, key: str) -> Row:
        """Return the row at ``key``; an absent row has version 0."""
        stored, version = self.rows.get(key, (None, 0))
        return key, stored, version

    def differing(self, conditions: list[list[Any]]) -> list[Row]:
        """Return the rows whose version differs from their condition's."""
        found = [(self.row(key), version) for key, version in conditions]
        return [row for row, version in found if row[2] != version]

    def apply(self, writes: list[list[Any]]) -> int:
        """Apply the writes as one commit and return its version."""
        self.version += 1
        for key, stored in writes:
            self._put(key, stored)
        commit = {'version': self.version, 'writes': writes, 'at': time.time()}
        self.history.append(commit)
        return self.version

    def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows below ``prefix``, after key ``after``."""
        start = bisect.bisect_left(self.keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(self.keys, after))
        found = []
        for key in self.keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            found.append(self.row(key))
        return found

    def _put(self, key: str, stored: Any) -> None:
        if stored is None:
            if self.rows.pop(key, None) is not None:
                self.keys.pop(bisect.bisect_left(self.keys, key))
            return
        if key not in self.rows:
            bisect.insort(self.keys, key)
        self.rows[key] = (stored, self.version)
