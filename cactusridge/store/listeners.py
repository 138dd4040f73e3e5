"""Dispatches the rows of one table to several listeners."""

from collections.abc import Mapping

from cactusridge.store.table import Row
from cactusridge.store.table_follower import TableListener


class ListenersByPrefix(TableListener):
    """Passes each row to the listener that is registered for its prefix.

    A process watches each table by a single call at a time, whatever the
    number of its listeners.
    """

    def __init__(self, by_prefix: Mapping[str, TableListener]) -> None:
        """Dispatch ``by_prefix``; the first matching prefix gets a row."""
        self._by_prefix = by_prefix

    def put(self, row: Row) -> None:
        """Pass a row to its listener; ignore a row without a listener."""
        for prefix, listener in self._by_prefix.items():
            if row.key.startswith(prefix):
                listener.put(row)
                return

    def retain(self, keys: set[str]) -> None:
        """Pass to each listener those of ``keys`` that have its prefix."""
        left = set(keys)
        for prefix, listener in self._by_prefix.items():
            own = {key for key in left if key.startswith(prefix)}
            left -= own
            listener.retain(own)

    def up_to_date(self, begun_at: float, whole: bool) -> None:
        """Notify each listener of the end of a read."""
        for listener in self._by_prefix.values():
            listener.up_to_date(begun_at, whole)

    def store_recovered(self, since: float) -> None:
        """Notify each listener of the end of an outage of the store."""
        for listener in self._by_prefix.values():
            listener.store_recovered(since)
