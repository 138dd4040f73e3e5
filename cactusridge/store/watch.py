"""The interface by which the changes of a table are followed."""

import abc
from typing import NamedTuple

from cactusridge.errors import CactusridgeError
from cactusridge.store.table import Row


class HistoryLost(CactusridgeError):
    """The store no longer keeps these changes; read the whole table."""

    status = 410
    code = 'history_lost'


class Snapshot(NamedTuple):
    """All rows at one version of a table, or the changes up to it.

    The value of a deleted row is None.
    """

    rows: list[Row]
    version: int


class Watch(abc.ABC):
    """Reads the rows of a table, and the changes that follow."""

    @abc.abstractmethod
    def snapshot(self, prefixes: list[str]) -> Snapshot:
        """Return all rows whose keys start with one of ``prefixes``.

        The version is not newer than any of the rows read. Raises
        StoreUnavailable.
        """

    @abc.abstractmethod
    def changes(self, table: str, after: int, wait_s: float) -> Snapshot:
        """Return the rows of ``table`` that changed since ``after``.

        Waits up to ``wait_s`` seconds for a change. Raises StoreUnavailable or
        HistoryLost.
        """
