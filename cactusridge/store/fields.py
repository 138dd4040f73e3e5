"""Reads the fields of a decoded JSON object and checks their types."""

import enum
from typing import Any, Final, TypeVar

from cactusridge.store.unreadable import UnreadableField

# The default of a field that must be present.
REQUIRED: Final = object()

WordT = TypeVar('WordT', bound=enum.StrEnum)


def is_count(found: Any) -> bool:
    """Return whether a decoded value is a non-negative integer."""
    return is_integer(found) and found >= 0


def is_integer(found: Any) -> bool:
    """Return whether a decoded value is an integer; a bool is none."""
    return isinstance(found, int) and not isinstance(found, bool)


class Fields:
    """Reads typed fields of a JSON object; raises UnreadableField.

    Values are not converted: neither a bool nor a string is accepted as a
    number. A null field counts as missing; a missing field has the default
    or raises. Unknown fields are ignored.
    """

    def __init__(self, raw: Any) -> None:
        """Read ``raw``; raise UnreadableField unless it is a dict."""
        if not isinstance(raw, dict):
            raise UnreadableField(
                f'expected an object, not {type(raw).__name__}'
            )
        self._raw = raw

    def text(self, name: str, default: Any = REQUIRED) -> str:
        """Return a string."""
        return self._of(str, name, default)

    def integer(self, name: str, default: Any = REQUIRED) -> int:
        """Return a non-negative integer."""
        found = self._of(int, name, default)
        if found is not default and not is_count(found):
            raise UnreadableField(f'{name} is not a non-negative integer')
        return found

    def signed_integer(self, name: str) -> int:
        """Return an integer, which may be negative."""
        found = self._of(int, name, REQUIRED)
        if not is_integer(found):
            raise UnreadableField(f'{name} is a bool, not an integer')
        return found

    def number(self, name: str, default: Any = REQUIRED) -> float:
        """Return a non-negative number."""
        found = self._of((int, float), name, default)
        if found is default:
            return found
        if isinstance(found, bool) or found < 0:
            raise UnreadableField(f'{name} is not a non-negative number')
        return found

    def flag(self, name: str, default: Any = REQUIRED) -> bool:
        """Return a bool."""
        return self._of(bool, name, default)

    def items_of(self, name: str, default: Any = REQUIRED) -> list[Any]:
        """Return a list whose entries are not checked."""
        return self._of(list, name, default)

    def mapping(self, name: str, default: Any = REQUIRED) -> dict[str, Any]:
        """Return a dict whose values are not checked."""
        return self._of(dict, name, default)

    def enum_value(self, name: str, words: type[WordT]) -> WordT:
        """Return the member of the enum ``words`` with the field's value."""
        found = self.text(name)
        try:
            return words(found)
        except ValueError as exc:
            raise UnreadableField(f'{name}: {exc}') from exc

    def counts_list(self, name: str) -> list[int]:
        """Return a list of non-negative integers."""
        found = self.items_of(name)
        if not all(map(is_count, found)):
            raise UnreadableField(f'{name} is not a list of counts')
        return found

    def counts(self, name: str, default: Any = REQUIRED) -> dict[str, int]:
        """Return a dict of non-negative integers by string."""
        found = self.mapping(name, default)
        if not all(map(is_count, found.values())):
            raise UnreadableField(f'{name} has a value that is no count')
        return found

    def integers(self, name: str, default: Any = REQUIRED) -> dict[str, int]:
        """Return a dict of integers by string; they may be negative."""
        found = self.mapping(name, default)
        if not all(map(is_integer, found.values())):
            raise UnreadableField(f'{name} has a value that is no integer')
        return found

    def texts(self, name: str, default: Any = REQUIRED) -> dict[str, str]:
        """Return a dict of strings by string."""
        found = self.mapping(name, default)
        if not all(isinstance(each, str) for each in found.values()):
            raise UnreadableField(f'{name} has a value that is no string')
        return found

    def _of(
        self,
        kind: type | tuple[type, ...],
        name: str,
        default: Any,
    ) -> Any:
        """Return the field ``name``, or ``default`` if it is missing."""
        found = self._raw.get(name)
        if found is None:
            if default is REQUIRED:
                raise UnreadableField(f'{name} is missing')
            return default
        if not isinstance(found, kind):
            raise UnreadableField(f'{name} is a {type(found).__name__}')
        return found
