"""Reads a start settings file and reports all of its errors at once."""

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

# The parser in C is several times as fast; PyYAML may be built without it.
SAFE_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
# msgspec puts this text before the path of a nested value in its messages.
NESTED_PATH_MARK = ' - at `$'


class SettingsMistake(Exception):
    """One error in a start settings file: file, path and expected value."""

    def __init__(self, source: str, place: str, expected: str) -> None:
        """Record the file, the path in it and what was expected there."""
        super().__init__(f'{source}: {place}: {expected}')
        self.source = source
        self.place = place
        self.expected = expected


class BadStartSettings(ExceptionGroup[SettingsMistake]):
    """All errors of one start settings file."""


def load_file(path: str, role: str | None = None) -> CommonSettings:
    """Return the settings in the file ``path``.

    Raises BadStartSettings if the file cannot be read, is invalid, or is
    for another role than ``role``.
    """
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise _single(path, 'the file', f'readable text ({exc})') from exc
    try:
        raw = yaml.load(text, Loader=SAFE_LOADER)  # noqa: S506
    except yaml.YAMLError as exc:
        raise _single(path, 'the file', f'YAML ({exc})') from exc
    if not isinstance(raw, dict):
        raise _single(path, 'the file', 'a mapping')
    return check(path, raw, role)


def check(source: str, raw: dict[str, Any], role: str | None) -> CommonSettings:
    """Return ``raw`` as the settings of the role that it names.

    ``source`` names the file in errors. Raises BadStartSettings with one
    SettingsMistake for each error.
    """
    given = raw.get('role')
    model = ROLES.get(given) if isinstance(given, str) else None
    if model is None:
        raise _single(source, 'role', f'one of {", ".join(ROLES)}')
    if role not in {None, given}:
        raise _single(
            source, 'role', f'{role}, the role given on the command line'
        )
    mistakes = [
        SettingsMistake(source, place, expected)
        for place, expected in _find_mistakes(raw, model, '')
    ]
    if mistakes:
        raise BadStartSettings('bad start settings', mistakes)
    return msgspec.convert(raw, model)


def _find_mistakes(
    raw: dict[Any, Any],
    model: type[msgspec.Struct],
    parent: str,
) -> Iterator[tuple[str, str]]:
    """Yield the path of each error and what was expected there.

    msgspec stops at the first error, so each field is converted alone.
    """
    fields = {field.name: field for field in msgspec.structs.fields(model)}
    for unknown in raw.keys() - fields.keys():
        yield f'{parent}{unknown}', 'no such setting'
    for name, field in fields.items():
        place = f'{parent}{name}'
        given = raw.get(name, msgspec.UNSET)
        if given is not msgspec.UNSET:
            yield from _find_field_mistakes(given, field.type, place)
        elif field.required:
            yield place, 'a value, but the setting is missing'


def _find_field_mistakes(
    value: Any,
    field_type: Any,
    place: str,
) -> Iterator[tuple[str, str]]:
    """Yield the path and expected value of each error in one field."""
    if _is_model(field_type) and isinstance(value, dict):
        yield from _find_mistakes(value, field_type, f'{place}.')
        return
    try:
        msgspec.convert(value, field_type)
    except msgspec.ValidationError as exc:
        expected, _, inner = str(exc).partition(NESTED_PATH_MARK)
        yield place + inner.rstrip('`'), expected


def _is_model(field_type: Any) -> bool:
    """Return whether a field's type is a nested settings class."""
    return isinstance(field_type, type) and issubclass(
        field_type, msgspec.Struct
    )


def _single(source: str, place: str, expected: str) -> BadStartSettings:
    mistake = SettingsMistake(source, place, expected)
    return BadStartSettings('bad start settings', [mistake])
