"""An in-memory implementation of the table with injectable faults."""

import itertools
from collections import deque
from collections.abc import Sequence

from cactusridge.errors import StoreUnavailable
from cactusridge.store.table import (
    PAGE,
    Condition,
    ConditionFailed,
    Priority,
    Row,
    Table,
    Write,
    WriteUnknown,
)
from standins.faults import FaultKind
from standins.table_store import TableStore


class MemoryTable(Table):
    """A table for unit tests.

    Each write takes the next of ``faults``; the next ``fail_reads`` reads
    raise StoreUnavailable.
    """

    def __init__(self) -> None:
        """Create an empty table without faults."""
        self.store = TableStore()
        self.faults: deque[FaultKind] = deque()
        self.reads = 0
        self.fail_reads = 0
        self.writes = 0

    def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        priority: Priority,
    ) -> int:
        """Apply the writes as one commit and return its version.

        Raises ConditionFailed if a version differs. The next fault may raise
        StoreUnavailable, or WriteUnknown before or after the commit.
        """
        self.writes += 1
        fault = self.faults.popleft() if self.faults else None
        if fault == FaultKind.down:
            raise StoreUnavailable(retry_after_s=0)
        if fault == FaultKind.cut:
            raise WriteUnknown('not applied, but who knows')
        differing = self.store.differing([list(each) for each in conditions])
        if differing:
            raise ConditionFailed([Row(*row) for row in differing])
        version = self.store.apply([list(each) for each in writes])
        if fault == FaultKind.lose_answer:
            raise WriteUnknown('applied, but who knows')
        return version

    def read(self, keys: Sequence[str], priority: Priority) -> list[Row]:
        """Return the rows at ``keys``; raise StoreUnavailable on a fault."""
        self._count_read()
        return [Row(*self.store.row(key)) for key in keys]

    def scan(
        self,
        prefix: str,
        priority: Priority,
        after: str = '',
        limit: int = PAGE,
    ) -> list[Row]:
        """Return a page of the rows below ``prefix``.

        Raises StoreUnavailable on a fault.
        """
        self._count_read()
        found = self.store.scan(prefix, after, limit)
        return [Row(*row) for row in itertools.islice(found, limit)]

    def _count_read(self) -> None:
        self.reads += 1
        if self.fail_reads:
            self.fail_reads -= 1
            raise StoreUnavailable(retry_after_s=0)
