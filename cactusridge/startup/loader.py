"""Reads a start settings file and lists every mistake in it at once."""

from collections.abc import Iterator, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any

import msgspec
import yaml

from cactusridge.startup.models import (
    CommonSettings,
    DirectEntrySettings,
    EntrySettings,
    SidecarSettings,
)

ROLES: Mapping[str, type[CommonSettings]] = MappingProxyType(
    {
        'entry': EntrySettings,
        'sidecar': SidecarSettings,
        'direct_entry': DirectEntrySettings,
    },
)

# What stands in the library's errors before the place in a value.
INNER_PLACE = ' - at `$'


class SettingsMistake(Exception):
    """One mistake: the file, the path in it, what was expected."""

    def __init__(self, source: str, place: str, expected: str) -> None:
        """Keep where the mistake is and what was expected."""
        super().__init__(f'{source}: {place}: {expected}')
        self.source = source
        self.place = place
        self.expected = expected


class BadStartSettings(ExceptionGroup[SettingsMistake]):
    """All mistakes of one start settings file."""


def load_file(path: str, role: str | None = None) -> CommonSettings:
    """Return the settings in ``path``; raise BadStartSettings."""
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise _single(path, 'the file', f'readable text ({exc})') from exc
    try:
        raw = yaml.safe_load(text)
    except yaml.YAMLError as exc:
        raise _single(path, 'the file', f'YAML ({exc})') from exc
    if not isinstance(raw, dict):
        raise _single(path, 'the file', 'a mapping')
    return check(path, raw, role)


def check(source: str, raw: dict[str, Any], role: str | None) -> CommonSettings:
    """Return ``raw`` as settings of its role; raise BadStartSettings."""
    stated = raw.get('role')
    model = ROLES.get(stated) if isinstance(stated, str) else None
    if model is None:
        raise _single(source, 'role', f'one of {", ".join(ROLES)}')
    if role not in {None, stated}:
        raise _single(source, 'role', f'{role}, as the command line says')
    mistakes = [
        SettingsMistake(source, place, expected)
        for place, expected in _mistakes(raw, model, '')
    ]
    if mistakes:
        raise BadStartSettings('bad start settings', mistakes)
    return msgspec.convert(raw, model)


def _mistakes(
    raw: dict[Any, Any],
    model: type[msgspec.Struct],
    above: str,
) -> Iterator[tuple[str, str]]:
    """Yield the place of each mistake and what was expected there.

    The library stops at the first one, so each field is tried alone.
    """
    fields = {field.name: field for field in msgspec.structs.fields(model)}
    for unknown in raw.keys() - fields.keys():
        yield f'{above}{unknown}', 'no such setting'
    for name, field in fields.items():
        place = f'{above}{name}'
        stated = raw.get(name, msgspec.UNSET)
        if stated is not msgspec.UNSET:
            yield from _mistakes_in(stated, field.type, place)
        elif field.required:
            yield place, 'a value, it is missing'


def _mistakes_in(
    value: Any,
    wanted: Any,
    place: str,
) -> Iterator[tuple[str, str]]:
    """Yield what is wrong with the value of one field."""
    if _is_model(wanted) and isinstance(value, dict):
        yield from _mistakes(value, wanted, f'{place}.')
        return
    try:
        msgspec.convert(value, wanted)
    except msgspec.ValidationError as exc:
        expected, _, inner = str(exc).partition(INNER_PLACE)
        yield place + inner.rstrip('`'), expected


def _is_model(wanted: Any) -> bool:
    """Tell whether a field's type is a group of settings."""
    return isinstance(wanted, type) and issubclass(wanted, msgspec.Struct)


def _single(source: str, place: str, expected: str) -> BadStartSettings:
    mistake = SettingsMistake(source, place, expected)
    return BadStartSettings('bad start settings', [mistake])
