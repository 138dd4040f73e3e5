"""Messages between an entry and a sidecar."""

import enum
from typing import NotRequired, TypedDict, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from cactusridge.errors import BadRequest

MAX_ID = 200
MessageT = TypeVar('MessageT', bound='Message')


class WorkClass(enum.StrEnum):
    """Who waits for the work: a person, or a job."""

    online = 'online'
    batch = 'batch'


class Message(BaseModel):
    """An internal message; a key of a newer version is passed over."""

    model_config = ConfigDict(extra='ignore', frozen=True)


class Fence(Message):
    """A fencing number for a resource; a lower one is out of date."""

    resource: str = Field(min_length=1, max_length=MAX_ID)
    number: int = Field(ge=1)


class RunOrder(Message):
    """One request for an upstream; its body follows on the wire."""

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
    """Asks whether an order ran; if not, it never will."""

    id: str = Field(min_length=1, max_length=MAX_ID)
    incarnation: str
    age_s: float = Field(ge=0)


class Probe(Message):
    """An entry's heartbeat to a sidecar."""

    settings_version: int = Field(ge=0)


class SettingsPush(Message):
    """The settings that concern one sidecar, by service path."""

    version: int = Field(ge=0)
    services: dict[str, dict[str, object]]


class Verdict(enum.StrEnum):
    """What became of an order."""

    never = 'never'
    ran = 'ran'
    unknown = 'unknown'


class ServiceReport(TypedDict):
    """Load of one upstream in requests; its pace in seconds a token."""

    online_running: int
    online_waiting: int
    batch_running: int
    batch_waiting: int
    online_limit: int
    batch_limit: int
    wait_s: float
    token_s: float


class SidecarReport(TypedDict):
    """What a sidecar says of itself in every reply."""

    incarnation: str
    draining: bool
    settings_version: int
    services: dict[str, ServiceReport]
    verdict: NotRequired[str]


def parse_order(raw: bytes) -> tuple[RunOrder, bytes]:
    r"""Split ``raw`` at the first ``\n`` into the order and its body."""
    line, newline, body = raw.partition(b'\n')
    if not newline:
        raise BadRequest('an order without its line')
    return parse_message(RunOrder, line), body


def parse_message(model: type[MessageT], raw: bytes) -> MessageT:
    """Return ``raw`` as a ``model``; raise BadRequest naming the field."""
    try:
        return model.model_validate_json(raw)
    except ValidationError as exc:
        fault = exc.errors()[0]
        place = '.'.join(map(str, fault['loc']))
        raise BadRequest(f'{place}: {fault["msg"]}', param=place) from exc
