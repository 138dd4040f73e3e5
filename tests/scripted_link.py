"""A link to the platform that gives prepared answers."""

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
    """Answers each call with the next of its answers, then the last."""

    def __init__(self) -> None:
        """Have no answers yet."""
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
        """Append an answer."""
        answer = PlatformAnswer(status, wire.encode(message))
        self.answers.append(answer)


def rows_over(link: ScriptedLink) -> PlatformRows:
    """Return the platform's rows over ``link``."""
    return PlatformRows(link, link, StoreClock(ManualClock()))


def packed(value: Any) -> str:
    """Return a value as the store keeps it."""
    return base64.b64encode(wire.encode(value)).decode()


def entry(number: int, table: str = 't') -> dict[str, Any]:
    """Return a sound entry, the ``number``th of its table."""
    return {
        'table': table,
        'part': '',
        'key': f'k{number:05}',
        'value': packed({'n': number}),
        'ver': number + 1,
    }


def page(entries: Any, *, more: Any = False) -> dict[str, Any]:
    """Return the body of an answer."""
    return {'rows': entries, 'ver': VERSION, 'now_ms': 5, 'has_more': more}


def encoded(raw: bytes) -> str:
    """Return bytes as base64."""
    return base64.b64encode(raw).decode()


# What makes a value unreadable, by name; keys and versions stay.
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
# What takes an entry's place away.
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
    """Return an entry with another value."""
    return {**entry(number), 'value': value}


def first(count: int) -> list[dict[str, Any]]:
    """Return the first sound entries."""
    return list(itertools.starmap(entry, ((n,) for n in range(count))))
