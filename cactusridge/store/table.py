"""The interface of the platform's table service."""

import abc
import enum
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from cactusridge.errors import CactusridgeError, StoreUnavailable

# The version of a row that does not exist.
ABSENT = 0
# The most rows that a scan returns by default.
PAGE = 500


class Priority(enum.IntEnum):
    """The priority of a call under the rate limit; the lowest goes first."""

    lease = 0
    commit = 1
    settings = 2
    acceptance = 3
    report = 4


class Row(NamedTuple):
    """A row of a table; its value is None if the row is absent.

    An ``unreadable`` row exists, but its bytes cannot be decoded. Its value
    is None as well, so use ``absent`` to check whether a row exists.
    """

    key: str
    value: dict[str, Any] | None
    version: int
    unreadable: bool = False

    @property
    def absent(self) -> bool:
        """Whether the row does not exist."""
        return self.value is None and not self.unreadable


class Condition(NamedTuple):
    """Requires ``version`` of the row at ``key``; 0: no such row."""

    key: str
    version: int


class Write(NamedTuple):
    """Stores ``value`` at ``key``; None deletes the row."""

    key: str
    value: dict[str, Any] | None


class ConditionFailed(CactusridgeError):
    """A condition of the transaction did not hold; nothing was written."""

    status = 409
    code = 'condition_failed'
    not_run = True

    def __init__(self, rows: Sequence[Row]) -> None:
        """Keep the rows whose versions differ from the conditions."""
        super().__init__(
            f'rows with another version: {[row.key for row in rows]}'
        )
        self.rows = {row.key: row for row in rows}


class CallRefused(StoreUnavailable):
    """The store refuses this call; nothing was changed.

    Unlike in an outage it refuses the same call again.
    """

    code = 'store_refused'


class WriteUnknown(CactusridgeError):
    """The store may have applied the transaction; read the rows to check."""

    status = 503
    code = 'write_unknown'


class Table(abc.ABC):
    """Rows with increasing versions, written by conditional transactions."""

    @abc.abstractmethod
    def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        priority: Priority,
    ) -> int:
        """Apply all writes if all conditions hold; return the version.

        Raises ConditionFailed, StoreUnavailable (nothing was applied) or
        WriteUnknown (the writes may have been applied).
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
        """Return up to ``limit`` rows whose keys start with ``prefix``.

        The rows are sorted by key and start past the key ``after``.
        """


def scan_all(
    table: Table,
    prefix: str,
    priority: Priority,
    after: str = '',
) -> Iterable[Row]:
    """Yield the rows whose keys start with ``prefix``, past ``after``.

    One page of PAGE rows is read at a time.
    """
    while True:
        rows = table.scan(prefix, priority, after)
        yield from rows
        if len(rows) < PAGE:
            return
        after = rows[-1].key


def by_key(rows: Iterable[Row]) -> Mapping[str, Row]:
    """Return the rows by their keys."""
    return {row.key: row for row in rows}
