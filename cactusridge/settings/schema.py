"""Schemas of the settings at each kind of path."""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from cactusridge.errors import BadRequest
from cactusridge.settings.paths import NodeKind

SHA256_HEX = '^[0-9a-f]{64}$'
Seconds = Annotated[float, Field(gt=0, le=10_000_000)]
Share = Annotated[float, Field(gt=0, le=1)]


class InvalidSettings(BadRequest):
    """The settings do not fit the schema."""

    code = 'invalid_settings'


class Strict(BaseModel):
    """Base of settings models; unknown keys are rejected."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class TokenRole(enum.StrEnum):
    """The permissions of a token.

    An operator may change settings; a caller may only send requests.
    """

    operator = 'operator'
    caller = 'caller'


class TokenSettings(Strict):
    """A token, stored as the hex SHA-256 of its text."""

    sha256: str = Field(pattern=SHA256_HEX)
    role: TokenRole = TokenRole.caller
    note: str = ''


class TeamSettings(Strict):
    """A team: its tokens and its share of a contended service."""

    tokens: tuple[TokenSettings, ...] = ()
    share: float = Field(default=1, gt=0)


class DeploymentSettings(Strict):
    """A deployment: a group of services and jobs of one team."""

    description: str = ''


class ServiceKind(enum.StrEnum):
    """The kind of upstream that a service has: a model or plain HTTP."""

    model = 'model'
    plain = 'plain'


class ObjectiveSettings(Strict):
    """Service level objectives, which the burn report measures.

    Names ending in ``_s`` are in seconds; the others are shares of 1.
    """

    first_token_s: Seconds = 0.64
    between_tokens_s: Seconds = 0.056
    latency_share: Share = 0.95
    availability: Share = 0.999
    due_met: Share = 0.99


class RouteSettings(Strict):
    """Whether matching calls of a plain service may be retried."""

    method: str = '*'
    prefix: str = '/'
    repeatable: bool = False


class ServiceSettings(Strict):
    """Settings of an online service."""

    kind: ServiceKind = ServiceKind.model
    models: tuple[str, ...] = ()
    callers: tuple[str, ...] = ()
    repeatable: bool = True
    routes: tuple[RouteSettings, ...] = ()
    checks_fencing: bool = False
    objective: ObjectiveSettings = ObjectiveSettings()
    deadline_s: Seconds = 60
    retry_share: float = Field(default=0.1, ge=0, le=1)
    batch_share: Share = 1
    max_item_attempts: int = Field(default=3, ge=1, le=100)
    item_timeout_s: Seconds = 600


class JobSettings(Strict):
    """A class of batch jobs: its service and the due time of its jobs."""

    service: str = ''
    due_in_s: Seconds | None = None
    due_at: str | None = Field(default=None, pattern='^[0-2][0-9]:[0-5][0-9]$')
    repeatable: bool | None = None


MODELS: Mapping[NodeKind, type[Strict]] = MappingProxyType(
    {
        NodeKind.team: TeamSettings,
        NodeKind.deployment: DeploymentSettings,
        NodeKind.service: ServiceSettings,
        NodeKind.job: JobSettings,
    },
)


def validate(kind: NodeKind, raw: Any) -> Strict:
    """Return ``raw`` as settings of ``kind``.

    Raises InvalidSettings with a message that lists every error.
    """
    try:
        return MODELS[kind].model_validate(raw)
    except ValidationError as exc:
        raise InvalidSettings(explain(exc)) from exc


def explain(exc: ValidationError) -> str:
    """Return all validation errors as one line of ``field: message``."""
    return '; '.join(
        f'{".".join(map(str, fault["loc"])) or "the document"}: {fault["msg"]}'
        for fault in exc.errors()
    )
