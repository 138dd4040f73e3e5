"""Rows as the platform's store writes them, and what an answer holds."""

import base64
import binascii
from typing import Any, NamedTuple

from cactusridge import wire
from cactusridge.errors import BadRequest, StoreUnavailable
from cactusridge.store.fields import Fields, is_count
from cactusridge.store.table import ABSENT, Row
from cactusridge.store.unreadable import UnreadableField

RETRY_S = 0.5
ROW_KEY_PARTS = 2


class Answer(NamedTuple):
    """Rows and the version of an answer.

    ``unnamed`` are entries whose place cannot be read.
    """

    rows: list[Row]
    version: int
    unnamed: list[Any]


def answer_in(fields: Fields) -> Answer:
    """Return the rows and version of an answer; raise StoreUnavailable."""
    try:
        entries, version = fields.listed('rows'), fields.whole('ver')
    except UnreadableField as exc:
        raise unreadable_answer(exc) from exc
    rows, unnamed = rows_in(entries)
    return Answer(rows, version, unnamed)


def unreadable_answer(exc: Exception) -> StoreUnavailable:
    """Return the failure of a call whose answer cannot be read."""
    return StoreUnavailable(f'unreadable: {exc!r}', retry_after_s=RETRY_S)


def rows_in(entries: list[Any]) -> tuple[list[Row], list[Any]]:
    """Return the rows in order, and the entries that cannot be named."""
    rows, unnamed = [], []
    for entry in entries:
        try:
            rows.append(row_in(entry))
        except UnreadableField:
            unnamed.append(entry)
    return rows, unnamed


def row_in(entry: Any) -> Row:
    """Return a row; raise UnreadableField if it cannot be named."""
    key = key_in(entry)
    version = entry.get('ver', ABSENT)
    if not is_count(version):
        return Row(key, None, ABSENT, unreadable=True)
    packed = entry.get('value')
    removed = entry.get('deleted')
    if removed in (True, False, None):
        if removed or (packed is None and version == ABSENT):
            return Row(key, None, version)
        held = unpacked(packed)
        return Row(key, held, version, unreadable=held is None)
    return Row(key, None, version, unreadable=True)


def key_in(entry: Any) -> str:
    """Return the key of an entry; raise UnreadableField."""
    if not isinstance(entry, dict):
        raise UnreadableField('an entry that is no object')
    place = (entry.get('table'), entry.get('part', ''), entry.get('key'))
    if not all(isinstance(each, str) for each in place):
        raise UnreadableField('an entry without a place')
    return '/'.join(place)


def unpacked(packed: Any) -> dict[str, Any] | None:
    """Return a packed value, or None if it cannot be read."""
    try:
        held = wire.decode(binascii.a2b_base64(packed, strict_mode=True))
    except (BadRequest, ValueError, TypeError):
        # The row says that it is unreadable; its reader logs it.
        return None
    return held if isinstance(held, dict) else None


def packed_of(held: Any) -> str:
    """Return a value as the store keeps it."""
    return base64.b64encode(wire.encode(held)).decode()


def place_of(key: str) -> dict[str, str]:
    """Return the place of a row by its key."""
    table, part, name = key.split('/', ROW_KEY_PARTS)
    return {'table': table, 'part': part, 'key': name}
