"""Says of each row that cannot be read, once a version."""

from collections import OrderedDict

from cactusridge import events, logs
from cactusridge.events import Event

# Rows whose last reported version is remembered: more than the largest
# table has that is read whole (12,000), at some 200 bytes each.
MAX_KNOWN = 16_384
# Characters of an error that are logged; a value may be 64 KB long.
SHOWN = 300


class RowReports:
    """Logs rows that cannot be read.

    Tables are read again every few seconds: without a memory of what was
    said a hundred such rows would make a dozen lines a second for as
    long as they stand.
    """

    def __init__(self, event: Event = events.ROW_UNREADABLE) -> None:
        """Log ``event``."""
        self._event = event
        self._known: OrderedDict[str, int] = OrderedDict()

    def report_once(self, key: str, version: int, error: str) -> None:
        """Log a row unless this very version of it was logged."""
        if self._known.get(key) == version:
            return
        self._known[key] = version
        self._known.move_to_end(key)
        if len(self._known) > MAX_KNOWN:
            self._known.popitem(last=False)
        logs.emit(
            self._event,
            key=key[:SHOWN],
            version=version,
            error=error[:SHOWN],
        )
