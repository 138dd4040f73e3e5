"""Reads a start settings file and lists every mistake in it at once."""

from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any

import yaml
from pydantic import ValidationError

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
    try:
        return model.model_validate(raw)
    except ValidationError as exc:
        mistakes = [
            SettingsMistake(
                source,
                '.'.join(map(str, fault['loc'])) or 'the file',
                fault['msg'],
            )
            for fault in exc.errors()
        ]
        raise BadStartSettings('bad start settings', mistakes) from exc


def _single(source: str, place: str, expected: str) -> BadStartSettings:
    mistake = SettingsMistake(source, place, expected)
    return BadStartSettings('bad start settings', [mistake])
