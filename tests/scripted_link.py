"""A link to the platform with scripted replies."""

import base64
import itertools
from typing import Any

from cactusridge import wire
from cactusridge.clock import ManualClock
from cactusridge.platform.rows import PlatformRows
from cactusridge.store.link import PlatformAnswer
from cactusridge.store.store_clock import StoreClock

VERSION = 900


class ScriptedLink:
    """Returns the scripted replies in order; the last one repeats."""

    def __init__(self) -> None:
        """Start with no replies."""
        self.answers: list[PlatformAnswer] = []
        self.asked: list[str] = []

    def call(self, method, path, body, priority, headers=None):
        """Return the next answer."""
        self.asked.append(path)
        if len(self.answers) > 1:
            return self.answers.pop(0)
        return self.answers[0]

    def call_with_retry(self, method, path, body, priority, headers=None):
        """Return the next answer."""
        return self.call(method, path, body, priority, headers)

    def say(self, message: Any, status: int = 200) -> None:
        """Append a reply with the JSON of ``message``."""
        answer = PlatformAnswer(status, wire.encode(message))
        self.answers.append(answer)


def rows_over(link: ScriptedLink) -> PlatformRows:
    """Return a client of the platform's rows over ``link``."""
    return PlatformRows(link, link, StoreClock(ManualClock()))


def packed(value: Any) -> str:
    """Return ``value`` in the store's encoding, base64 of JSON."""
    return base64.b64encode(wire.encode(value)).decode()


def entry(number: int, table: str = 't') -> dict[str, Any]:
    """Return a valid entry, number ``number`` of its table."""
    return {
        'table': table,
        'part': '',
        'key': f'k{number:05}',
        'value': packed({'n': number}),
        'ver': number + 1,
    }


def page(entries: Any, *, more: Any = False) -> dict[str, Any]:
    """Return the body of a reply with ``entries``."""
    return {'rows': entries, 'ver': VERSION, 'now_ms': 5, 'has_more': more}


def encoded(raw: bytes) -> str:
    """Return bytes as base64."""
    return base64.b64encode(raw).decode()


# Unreadable values by name; the entry has a valid key and version.
SPOILT_VALUES = (
    ('not base64', '***'),
    ('base64 cut short', 'eyJhIjo'),
    ('base64 with a break', f'eyJh\n{"Ij"}oxfQ=='),
    ('not ASCII', 'é' * 4),
    ('not UTF-8', encoded(b'{"a":"\xff"}')),
    ('not JSON', encoded(b'{"a":')),
    ('nothing', ''),
    ('a list', packed([1])),
    ('a text', packed('text')),
    ('null', packed(None)),
    ('a number in base64', packed(5)),
    ('deep', encoded(b'[' * 5000)),
    ('a number', 5),
    ('an object', {'a': 1}),
    ('true', True),
    ('missing', None),
)
# Entries without a valid key, which do not identify a row.
UNNAMED = (
    5,
    None,
    [],
    'text',
    {},
    {'table': 't', 'part': '', 'ver': 3, 'value': packed({})},
    {'table': 't', 'part': '', 'key': 7, 'ver': 3, 'value': packed({})},
    {'table': 't', 'part': 4, 'key': 'a', 'ver': 3, 'value': packed({})},
    {'table': None, 'part': '', 'key': 'a', 'ver': 3, 'value': packed({})},
)


def spoilt(number: int, value: Any) -> dict[str, Any]:
    """Return entry ``number`` with the invalid ``value``."""
    return {**entry(number), 'value': value}


def first(count: int) -> list[dict[str, Any]]:
    """Return the first ``count`` valid entries."""
    return list(itertools.starmap(entry, ((n,) for n in range(count))))
