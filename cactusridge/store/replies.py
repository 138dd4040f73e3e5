"""Models of the platform's replies, which validate them."""

from collections.abc import Iterator
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from cactusridge.errors import CactusridgeError
from cactusridge.store.fields import is_count
from cactusridge.store.table import ABSENT, Row


class UnreadableReply(CactusridgeError):
    """The platform sent a reply that does not follow its protocol."""

    status = 503
    code = 'unreadable_reply'


class RowsReply(BaseModel):
    """Rows that were read, or whose versions failed a condition.

    ``rows_in`` parses each entry on its own, so that an invalid entry does
    not invalidate the others.
    """

    rows: list[Any]


class VersionReply(BaseModel):
    """The table's version after a transaction."""

    version: int


class HostsReply(BaseModel):
    """The host list, whose entries are parsed one by one."""

    hosts: list[Any]


ReplyT = TypeVar('ReplyT', bound=BaseModel)


def parse_reply(model: type[ReplyT], raw: bytes) -> ReplyT:
    """Return the JSON ``raw`` as a ``model``; raise UnreadableReply."""
    try:
        return model.model_validate_json(raw)
    except ValidationError as exc:
        raise UnreadableReply(str(exc)) from exc


def rows_in(entries: list[Any]) -> Iterator[Row]:
    """Yield the rows of a reply; skip entries without a key.

    An entry is a list of key, value and version. A row is marked unreadable
    if its value is not an object or its version not a non-negative integer.
    """
    for entry in entries:
        if not isinstance(entry, list) or not entry:
            continue
        key, *held = entry
        if isinstance(key, str):
            yield _row(key, held)


def _row(key: str, held: list[Any]) -> Row:
    match held:
        case [None, version] if is_count(version):
            return Row(key, None, version)
        case [dict(found), version] if is_count(version):
            return Row(key, found, version)
        case [_, version] if is_count(version):
            return Row(key, None, version, unreadable=True)
        case _:
            return Row(key, None, ABSENT, unreadable=True)
