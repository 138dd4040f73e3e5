"""Reads the deadline and work class from a request's headers."""

from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.errors import BadRequest
from cactusridge.http.exchange import Req
from cactusridge.orders import WorkClass
from cactusridge.settings.catalog import Service
from cactusridge.settings.paths import NodeKind
from cactusridge.settings.tree import SettingsTree

DEADLINE_HEADER = 'X-Deadline-S'
CLASS_HEADER = 'X-Request-Class'
MAX_DEADLINE_S = 86_400
NOT_FORWARDED_HEADERS = frozenset(
    (
        'authorization',
        'connection',
        'content-length',
        'cookie',
        'expect',
        'host',
        'keep-alive',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-deadline-s',
        'x-request-class',
        'x-request-id',
        'x-resume',
        'x-fencing-resource',
        'x-fencing-number',
        'x-cactusridge-internal',
    ),
)


class RequestFields(NamedTuple):
    """A request's work class, deadline and its team's share.

    ``deadline_at`` is a time of the monotonic clock, in seconds.
    """

    work: WorkClass
    deadline_at: float
    share: float


def read_request_fields(
    req: Req,
    service: Service,
    tree: SettingsTree,
    team: str,
    clock: Clock,
) -> RequestFields:
    """Return the fields of ``req``; raise BadRequest if one is invalid."""
    seconds = _deadline_s(req, service)
    team_settings = tree.model(f'/{NodeKind.team}s/{team}')
    return RequestFields(
        _work_class(req),
        clock.monotonic() + seconds,
        team_settings.share if team_settings else 1,
    )


def forwarded_headers(req: Req) -> tuple[tuple[str, str], ...]:
    """Return the request headers to forward to the upstream."""
    return tuple(
        (name, text)
        for name, text in req.headers().items()
        if name not in NOT_FORWARDED_HEADERS
    )


def _deadline_s(req: Req, service: Service) -> float:
    text = req.header(DEADLINE_HEADER)
    if not text:
        return service.settings.deadline_s
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0
    if not 0 < seconds <= MAX_DEADLINE_S:
        raise BadRequest(
            f'{DEADLINE_HEADER} has to be a number of seconds over 0 and'
            ' at most one day',
            param=DEADLINE_HEADER,
        )
    return seconds


def _work_class(req: Req) -> WorkClass:
    text = req.header(CLASS_HEADER, WorkClass.online.value)
    try:
        return WorkClass(text)
    except ValueError as exc:
        raise BadRequest(
            f'{CLASS_HEADER} has to be online or batch',
            param=CLASS_HEADER,
        ) from exc
