"""The platform's answers, checked before anything is made of them."""

from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from cactusridge.errors import CactusridgeError
from cactusridge.store.table import Row


class UnreadableReply(CactusridgeError):
    """The platform answered, but not with what its protocol says."""

    status = 503
    code = 'unreadable_reply'


class RowsReply(BaseModel):
    """Rows that were read, or that differ from what was expected."""

    rows: list[Row]


class VersionReply(BaseModel):
    """The version that a transaction has made."""

    version: int


class HostsReply(BaseModel):
    """The host list; each entry is read by itself."""

    hosts: list[dict[str, Any]]


ReplyT = TypeVar('ReplyT', bound=BaseModel)


def parse_reply(model: type[ReplyT], raw: bytes) -> ReplyT:
    """Return ``raw`` as a ``model``; raise UnreadableReply."""
    try:
        return model.model_validate_json(raw)
    except ValidationError as exc:
        raise UnreadableReply(str(exc)) from exc
