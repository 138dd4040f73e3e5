"""The fields of a decoded value, each checked when it is read."""

import enum
from typing import Any, Final, TypeVar

from cactusridge.store.unreadable import UnreadableField

# Stands for a field without a default: it has to be there.
REQUIRED: Final = object()

WordT = TypeVar('WordT', bound=enum.StrEnum)


def is_count(found: Any) -> bool:
    """Tell whether a decoded value is a whole number from 0 on."""
    return is_integer(found) and found >= 0


def is_integer(found: Any) -> bool:
    """Tell whether a decoded value is a whole number."""
    return isinstance(found, int) and not isinstance(found, bool)


class Fields:
    """Reads the fields of an object; raises UnreadableField.

    Types are exact: a bool is no number and a text is none either. Null
    counts as missing. Fields that nobody asks for are ignored.
    """

    def __init__(self, raw: Any) -> None:
        """Read ``raw``, which has to be an object."""
        if not isinstance(raw, dict):
            raise UnreadableField(f'{type(raw).__name__} in place of an object')
        self._raw = raw

    def text(self, name: str, default: Any = REQUIRED) -> str:
        """Return a text."""
        return self._of(str, name, default)

    def whole(self, name: str, default: Any = REQUIRED) -> int:
        """Return a whole number from 0 on."""
        found = self._of(int, name, default)
        if found is not default and not is_count(found):
            raise UnreadableField(f'{name} is no whole number from 0 on')
        return found

    def signed(self, name: str) -> int:
        """Return a whole number, under 0 or not."""
        found = self._of(int, name, REQUIRED)
        if not is_integer(found):
            raise UnreadableField(f'{name} is a bool')
        return found

    def number(self, name: str, default: Any = REQUIRED) -> float:
        """Return a number from 0 on."""
        found = self._of((int, float), name, default)
        if found is default:
            return found
        if isinstance(found, bool) or found < 0:
            raise UnreadableField(f'{name} is no number from 0 on')
        return found

    def flag(self, name: str, default: Any = REQUIRED) -> bool:
        """Return a truth value."""
        return self._of(bool, name, default)

    def listed(self, name: str, default: Any = REQUIRED) -> list[Any]:
        """Return a list, its entries unchecked."""
        return self._of(list, name, default)

    def mapping(self, name: str, default: Any = REQUIRED) -> dict[str, Any]:
        """Return an object, its fields unchecked."""
        return self._of(dict, name, default)

    def word(self, name: str, words: type[WordT]) -> WordT:
        """Return one of the known ``words``."""
        found = self.text(name)
        try:
            return words(found)
        except ValueError as exc:
            raise UnreadableField(f'{name}: {exc}') from exc

    def wholes(self, name: str) -> list[int]:
        """Return a list of whole numbers from 0 on."""
        found = self.listed(name)
        if not all(map(is_count, found)):
            raise UnreadableField(f'{name} has more than whole numbers')
        return found

    def counts(self, name: str, default: Any = REQUIRED) -> dict[str, int]:
        """Return whole numbers from 0 on by text."""
        found = self.mapping(name, default)
        if not all(map(is_count, found.values())):
            raise UnreadableField(f'{name} has more than whole numbers')
        return found

    def integers(self, name: str, default: Any = REQUIRED) -> dict[str, int]:
        """Return whole numbers, under 0 or not, by text."""
        found = self.mapping(name, default)
        if not all(map(is_integer, found.values())):
            raise UnreadableField(f'{name} has more than whole numbers')
        return found

    def texts(self, name: str, default: Any = REQUIRED) -> dict[str, str]:
        """Return texts by text."""
        found = self.mapping(name, default)
        if not all(isinstance(each, str) for each in found.values()):
            raise UnreadableField(f'{name} has more than texts')
        return found

    def _of(
        self,
        kind: type | tuple[type, ...],
        name: str,
        default: Any,
    ) -> Any:
        found = self._raw.get(name)
        if found is None:
            if default is REQUIRED:
                raise UnreadableField(f'{name} is missing')
            return default
        if not isinstance(found, kind):
            raise UnreadableField(f'{name} is a {type(found).__name__}')
        return found
