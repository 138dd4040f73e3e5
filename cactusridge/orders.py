"""The messages between an entry and a sidecar."""

import enum
from typing import NotRequired, TypedDict, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from cactusridge.errors import BadRequest

# The longest id or resource name, in characters.
MAX_ID = 200
MessageT = TypeVar('MessageT', bound='Message')


class WorkClass(enum.StrEnum):
    """The class of the work: an online request or a batch item."""

    online = 'online'
    batch = 'batch'


class Message(BaseModel):
    """An internal message; unknown keys of newer versions are ignored."""

    model_config = ConfigDict(extra='ignore', frozen=True)


class Fence(Message):
    """A fencing number of a resource; lower numbers are stale."""

    resource: str = Field(min_length=1, max_length=MAX_ID)
    number: int = Field(ge=1)


class RunOrder(Message):
    """A request for an upstream; its body follows the order's line."""

    id: str = Field(min_length=1, max_length=MAX_ID)
    incarnation: str
    service: str
    team: str
    work: WorkClass
    method: str = 'POST'
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    deadline_s: float = Field(gt=0)
    slack_s: float = 0
    share: float = Field(default=1, gt=0)
    repeatable: bool = True
    streamed: bool = False
    solo: bool = False
    wants_report: bool = True
    fence: Fence | None = None


class TombstoneOrder(Message):
    """Asks whether an order ran, and prevents it from running if not."""

    id: str = Field(min_length=1, max_length=MAX_ID)
    incarnation: str
    age_s: float = Field(ge=0)


class Probe(Message):
    """An entry's heartbeat to a sidecar."""

    settings_version: int = Field(ge=0)


class SettingsPush(Message):
    """The settings for one sidecar, by service path."""

    version: int = Field(ge=0)
    services: dict[str, dict[str, object]]


class Verdict(enum.StrEnum):
    """Whether an order has run."""

    never = 'never'
    ran = 'ran'
    unknown = 'unknown'


class ServiceReport(TypedDict):
    """The load of an upstream in requests, and its speed.

    ``token_s`` is in seconds per token, ``wait_s`` in seconds.
    """

    online_running: int
    online_waiting: int
    batch_running: int
    batch_waiting: int
    online_limit: int
    batch_limit: int
    wait_s: float
    token_s: float


class SidecarReport(TypedDict):
    """The state that a sidecar reports in every reply."""

    incarnation: str
    draining: bool
    settings_version: int
    services: dict[str, ServiceReport]
    verdict: NotRequired[str]


def parse_order(raw: bytes) -> tuple[RunOrder, bytes]:
    r"""Split ``raw`` at the first ``\n`` into the order and its body."""
    line, newline, body = raw.partition(b'\n')
    if not newline:
        raise BadRequest('the order is not followed by a newline')
    return parse_message(RunOrder, line), body


def parse_message(model: type[MessageT], raw: bytes) -> MessageT:
    """Return the JSON ``raw`` as a ``model``.

    Raises BadRequest with the name of the invalid field.
    """
    try:
        return model.model_validate_json(raw)
    except ValidationError as exc:
        fault = exc.errors()[0]
        place = '.'.join(map(str, fault['loc']))
        raise BadRequest(f'{place}: {fault["msg"]}', param=place) from exc
