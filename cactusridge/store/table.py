"""The platform's table service as the system sees it."""

import abc
import enum
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from cactusridge.errors import CactusridgeError

ABSENT = 0
PAGE = 500


class Priority(enum.IntEnum):
    """Who goes first when the store's budget is short; lowest first."""

    lease = 0
    commit = 1
    settings = 2
    acceptance = 3
    report = 4


class Row(NamedTuple):
    """A row: its key, its value (None: absent) and its version.

    An ``unreadable`` row is there, but its bytes cannot be decoded; it
    has no value either, so whoever takes None for absent asks first.
    """

    key: str
    value: dict[str, Any] | None
    version: int
    unreadable: bool = False

    @property
    def absent(self) -> bool:
        """Whether there is no such row."""
        return self.value is None and not self.unreadable


class Condition(NamedTuple):
    """The row at ``key`` must have ``version``; 0 means absent."""

    key: str
    version: int


class Write(NamedTuple):
    """Put ``value`` at ``key``; None deletes the row."""

    key: str
    value: dict[str, Any] | None


class ConditionFailed(CactusridgeError):
    """A condition of the transaction did not hold; nothing was written."""

    status = 409
    code = 'condition_failed'
    not_run = True

    def __init__(self, rows: Sequence[Row]) -> None:
        """Keep the rows whose versions differ."""
        super().__init__(f'differs: {[row.key for row in rows]}')
        self.rows = {row.key: row for row in rows}


class WriteUnknown(CactusridgeError):
    """The store may have applied the transaction; read to find out."""

    status = 503
    code = 'write_unknown'


class Table(abc.ABC):
    """Rows with growing versions and conditional transactions."""

    @abc.abstractmethod
    def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        priority: Priority,
    ) -> int:
        """Apply all writes if all conditions hold; return the version.

        Raises ConditionFailed, StoreUnavailable (nothing applied) or
        WriteUnknown (it may have been applied).
        """

    @abc.abstractmethod
    def read(self, keys: Sequence[str], priority: Priority) -> list[Row]:
        """Return the rows at ``keys``, in that order."""

    @abc.abstractmethod
    def scan(
        self,
        prefix: str,
        priority: Priority,
        after: str = '',
        limit: int = PAGE,
    ) -> list[Row]:
        """Return up to ``limit`` rows below ``prefix``, sorted by key."""


def scan_all(
    table: Table,
    prefix: str,
    priority: Priority,
    after: str = '',
) -> Iterable[Row]:
    """Yield the rows below ``prefix`` past ``after``, a page at a time."""
    while True:
        rows = table.scan(prefix, priority, after)
        yield from rows
        if len(rows) < PAGE:
            return
        after = rows[-1].key


def by_key(rows: Iterable[Row]) -> Mapping[str, Row]:
    """Return the rows by their keys."""
    return {row.key: row for row in rows}
