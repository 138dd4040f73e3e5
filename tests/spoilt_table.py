"""A table with unreadable or invalid rows of another writer."""

import itertools
from collections.abc import Iterator
from typing import Any

from cactusridge.store.table import PAGE
from standins.memory_table import MemoryTable

# Invalid values of a field: wrong types, and numbers out of range.
ODD = (None, True, -1, 1.5, 'odd', [], {}, [None], {'a': []})


class SpoiltTable(MemoryTable):
    """A table that returns chosen rows as unreadable."""

    def __init__(self) -> None:
        """Start with no unreadable rows."""
        super().__init__()
        self.unreadable: set[str] = set()

    def corrupt(self, key: str, value: Any = None) -> None:
        """Store ``value`` at ``key``; None stores undecodable bytes."""
        self.store.apply([[key, {} if value is None else value]])
        if value is None:
            self.unreadable.add(key)

    def read(self, keys, priority):
        """Return the rows at ``keys``."""
        return list(map(self._shown, super().read(keys, priority)))

    def scan(self, prefix, priority, after='', limit=PAGE):
        """Return a page of rows whose keys start with ``prefix``."""
        found = super().scan(prefix, priority, after, limit)
        return list(map(self._shown, found))

    def _shown(self, row):
        if row.key in self.unreadable:
            return row._replace(value=None, unreadable=True)
        return row


def corruptions(
    value: dict[str, Any],
    optional: tuple[str, ...] = (),
) -> Iterator[tuple[str, Any]]:
    """Yield names and invalid forms of ``value``.

    The first form is undecodable bytes, given as None, the second an empty
    object. In each further form one field has an invalid value; null means
    a missing field, which is valid for the ``optional`` ones.
    """
    yield 'bytes', None
    yield 'empty', {}
    for name, odd in itertools.product(value, ODD):
        missing_may_be = odd is None and name in optional
        if not missing_may_be and is_odd(odd, value[name]):
            yield f'{name}={odd!r}', {**value, name: odd}


def is_odd(odd: Any, good: Any) -> bool:
    """Return whether ``odd`` is not a valid value in place of ``good``."""
    return odd == -1 or odd.__class__ is not good.__class__
