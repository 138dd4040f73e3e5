"""How failures are answered on the platform's interface."""

from http import HTTPStatus

from cactusridge import wire
from cactusridge.errors import CactusridgeError
from cactusridge.http.exchange import JSON_TYPE, Reply

# Statuses that promise that the request has not run and never will.
PROMISES = frozenset(
    (
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
    ),
)


def status_of(exc: CactusridgeError) -> int:
    """Return the status for ``exc``; it promises only what is known."""
    if exc.status in PROMISES and not exc.not_run:
        return HTTPStatus.BAD_GATEWAY
    if exc.status < HTTPStatus.BAD_REQUEST:
        return HTTPStatus.BAD_GATEWAY
    return exc.status


def failure_reply(exc: CactusridgeError) -> Reply:
    """Return the reply for ``exc``, with the time to come back if known."""
    raw = wire.encode({'error': exc.body()})
    headers = [('Content-Type', JSON_TYPE), ('Content-Length', str(len(raw)))]
    status = status_of(exc)
    if status in PROMISES and exc.retry_after_s is not None:
        headers.append(('Retry-After', f'{exc.retry_after_s:.3f}'))
    return Reply(status, headers, [raw])
