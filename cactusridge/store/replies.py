"""The platform's answers, checked before anything is made of them."""

from collections.abc import Iterator
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from cactusridge.errors import CactusridgeError
from cactusridge.store.fields import is_count
from cactusridge.store.table import ABSENT, Row


class UnreadableReply(CactusridgeError):
    """The platform answered, but not with what its protocol says."""

    status = 503
    code = 'unreadable_reply'


class RowsReply(BaseModel):
    """Rows that were read, or that differ from what was expected.

    Each entry is read by itself.
    """

    rows: list[Any]


class VersionReply(BaseModel):
    """The version that a transaction has made."""

    version: int


class HostsReply(BaseModel):
    """The host list; each entry is read by itself."""

    hosts: list[Any]


ReplyT = TypeVar('ReplyT', bound=BaseModel)


def parse_reply(model: type[ReplyT], raw: bytes) -> ReplyT:
    """Return ``raw`` as a ``model``; raise UnreadableReply."""
    try:
        return model.model_validate_json(raw)
    except ValidationError as exc:
        raise UnreadableReply(str(exc)) from exc


def rows_in(entries: list[Any]) -> Iterator[Row]:
    """Yield the rows of an answer; what names no key is left out.

    A row whose value is no object or whose version is no whole number is
    unreadable.
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
