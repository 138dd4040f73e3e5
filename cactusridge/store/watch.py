"""Following the changes of a table."""

import abc
from typing import NamedTuple

from cactusridge.errors import CactusridgeError
from cactusridge.store.table import Row


class HistoryLost(CactusridgeError):
    """The store no longer has the changes asked for; read all again."""

    status = 410
    code = 'history_lost'


class Snapshot(NamedTuple):
    """Rows of one moment, or changes up to it, and its version.

    A row that was removed has no value.
    """

    rows: list[Row]
    version: int


class Watch(abc.ABC):
    """Reads tables whole and then by their changes."""

    @abc.abstractmethod
    def snapshot(self, prefixes: list[str]) -> Snapshot:
        """Return all rows below each of ``prefixes``.

        The version is not newer than any of the rows read. Raises
        StoreUnavailable.
        """

    @abc.abstractmethod
    def changes(self, table: str, after: int, wait_s: float) -> Snapshot:
        """Return the rows of ``table`` that changed since ``after``.

        Waits up to ``wait_s`` for one. Raises StoreUnavailable or
        HistoryLost.
        """
