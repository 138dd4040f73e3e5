"""Logs each version of an unreadable row once."""

from collections import OrderedDict

from cactusridge import events, logs
from cactusridge.events import Event

# The number of rows whose last logged version is kept, at some 200 bytes
# each. It is above the 12,000 rows of the largest table that is read whole.
MAX_KNOWN_ROWS = 16_384
# The longest error text that is logged, in characters: a value may be
# 64 KB long.
MAX_LOGGED_CHARS = 300


class RowReports:
    """Logs unreadable rows, without repeating a version of a row.

    Tables are read again every few seconds: without this check a hundred
    unreadable rows would cause a dozen log lines a second until they are
    repaired.
    """

    def __init__(self, event: Event = events.ROW_UNREADABLE) -> None:
        """Log each row as ``event``."""
        self._event = event
        self._known: OrderedDict[str, int] = OrderedDict()

    def report_once(self, key: str, version: int, error: str) -> None:
        """Log the row unless this version of it has been logged before."""
        if self._known.get(key) == version:
            return
        self._known[key] = version
        self._known.move_to_end(key)
        if len(self._known) > MAX_KNOWN_ROWS:
            self._known.popitem(last=False)
        logs.emit(
            self._event,
            key=key[:MAX_LOGGED_CHARS],
            version=version,
            error=error[:MAX_LOGGED_CHARS],
        )
