"""Decodes and encodes the rows of the platform's store."""

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
    """The rows and the version in an answer of the store.

    ``unnamed`` holds the raw entries whose key cannot be decoded.
    """

    rows: list[Row]
    version: int
    unnamed: list[Any]


def parse_answer(fields: Fields) -> Answer:
    """Decode the fields of an answer; raise StoreUnavailable."""
    try:
        entries, version = fields.items_of('rows'), fields.integer('ver')
    except UnreadableField as exc:
        raise unreadable_answer(exc) from exc
    rows, unnamed = parse_rows(entries)
    return Answer(rows, version, unnamed)


def unreadable_answer(exc: Exception) -> StoreUnavailable:
    """Return the error for an answer that cannot be decoded."""
    return StoreUnavailable(
        f'unreadable answer: {exc!r}', retry_after_s=RETRY_S
    )


def parse_rows(entries: list[Any]) -> tuple[list[Row], list[Any]]:
    """Return the rows in order, and the entries without a readable key."""
    rows, unnamed = [], []
    for entry in entries:
        try:
            rows.append(parse_row(entry))
        except UnreadableField:
            unnamed.append(entry)
    return rows, unnamed


def parse_row(entry: Any) -> Row:
    """Return the row of an entry; raise UnreadableField without a key.

    A row with a key whose version or value cannot be decoded is returned as
    ``unreadable``.
    """
    key = parse_key(entry)
    version = entry.get('ver', ABSENT)
    if not is_count(version):
        return Row(key, None, ABSENT, unreadable=True)
    packed = entry.get('value')
    removed = entry.get('deleted')
    if removed in (True, False, None):
        if removed or (packed is None and version == ABSENT):
            return Row(key, None, version)
        held = unpack(packed)
        return Row(key, held, version, unreadable=held is None)
    return Row(key, None, version, unreadable=True)


def parse_key(entry: Any) -> str:
    """Return the key ``table/part/key``; raise UnreadableField."""
    if not isinstance(entry, dict):
        raise UnreadableField('the entry is not an object')
    key_parts = (entry.get('table'), entry.get('part', ''), entry.get('key'))
    try:
        return '/'.join(key_parts)
    except TypeError as exc:
        raise UnreadableField(
            'the entry has no valid table, part and key'
        ) from exc


def unpack(packed: Any) -> dict[str, Any] | None:
    """Return a value from base64 JSON; None if it cannot be decoded."""
    try:
        held = wire.decode(binascii.a2b_base64(packed, strict_mode=True))
    except (BadRequest, ValueError, TypeError):
        # The caller marks the row as unreadable, and its reader logs it.
        return None
    return held if isinstance(held, dict) else None


def pack(held: Any) -> str:
    """Return a value as base64 JSON, which is how the store keeps it."""
    return base64.b64encode(wire.encode(held)).decode()


def key_fields(key: str) -> dict[str, str]:
    """Return the table, part and key fields for ``table/part/key``."""
    table, part, name = key.split('/', ROW_KEY_PARTS)
    return {'table': table, 'part': part, 'key': name}
