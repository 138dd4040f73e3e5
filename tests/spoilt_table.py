"""A table in which another writer leaves rows that cannot be read."""

import itertools
from collections.abc import Iterator
from typing import Any

from cactusridge.store.table import PAGE
from standins.memory_table import MemoryTable

# In place of a field: wrong types, and numbers out of range.
ODD = (None, True, -1, 1.5, 'odd', [], {}, [None], {'a': []})


class SpoiltTable(MemoryTable):
    """Marks rows as unreadable; keeps their keys and versions."""

    def __init__(self) -> None:
        """Start with none of them."""
        super().__init__()
        self.unreadable: set[str] = set()

    def spoil(self, key: str, value: Any = None) -> None:
        """Put ``value`` at ``key``, or bytes that cannot be read."""
        self.store.apply([[key, {} if value is None else value]])
        if value is None:
            self.unreadable.add(key)

    def read(self, keys, priority):
        """Return the rows at ``keys``."""
        return list(map(self._shown, super().read(keys, priority)))

    def scan(self, prefix, priority, after='', limit=PAGE):
        """Return a page of rows below ``prefix``."""
        found = super().scan(prefix, priority, after, limit)
        return list(map(self._shown, found))

    def _shown(self, row):
        if row.key in self.unreadable:
            return row._replace(value=None, unreadable=True)
        return row


def spoilings(
    value: dict[str, Any],
    optional: tuple[str, ...] = (),
) -> Iterator[tuple[str, Any]]:
    """Yield spoilt forms of ``value`` with their names.

    First bytes that cannot be read, then each field in turn as each odd
    thing that is not of its type; null stands for a missing one.
    """
    yield 'bytes', None
    yield 'empty', {}
    for name, odd in itertools.product(value, ODD):
        missing_may_be = odd is None and name in optional
        if not missing_may_be and is_odd(odd, value[name]):
            yield f'{name}={odd!r}', {**value, name: odd}


def is_odd(odd: Any, good: Any) -> bool:
    """Tell whether ``odd`` is no value of the type of ``good``."""
    return odd == -1 or odd.__class__ is not good.__class__
