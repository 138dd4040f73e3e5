"""Several listeners of one table."""

from collections.abc import Mapping

from cactusridge.store.table import Row
from cactusridge.store.table_follower import TableListener


class ListenersByPrefix(TableListener):
    """Passes each row on to the listener whose prefix its key has.

    A table is watched by one call at a time, whoever wants to hear of it.
    """

    def __init__(self, by_prefix: Mapping[str, TableListener]) -> None:
        """Pass on ``by_prefix``; the first that fits has a row."""
        self._by_prefix = by_prefix

    def put(self, row: Row) -> None:
        """Pass a row on; one that is nobody's is passed over."""
        for prefix, listener in self._by_prefix.items():
            if row.key.startswith(prefix):
                listener.put(row)
                return

    def retain(self, keys: set[str]) -> None:
        """Tell each listener which of its rows there are."""
        left = set(keys)
        for prefix, listener in self._by_prefix.items():
            own = {key for key in left if key.startswith(prefix)}
            left -= own
            listener.retain(own)

    def store_recovered(self, since: float) -> None:
        """Tell each listener that the store answers again."""
        for listener in self._by_prefix.values():
            listener.store_recovered(since)
