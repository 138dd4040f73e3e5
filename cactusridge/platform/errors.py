"""Replies to failed requests on the platform's interface."""

from http import HTTPStatus

from cactusridge import wire
from cactusridge.errors import CactusridgeError
from cactusridge.http.exchange import JSON_TYPE, Reply

# Statuses that promise the caller that its request never runs.
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
    ),
)


def status_of(exc: CactusridgeError) -> int:
    """Return the HTTP status for ``exc``.

    A status that promises that the request has not run becomes 502 if that
    is not certain, and so does a status below 400.
    """
    if exc.status in NOT_RUN_STATUSES and not exc.not_run:
        return HTTPStatus.BAD_GATEWAY
    if exc.status < HTTPStatus.BAD_REQUEST:
        return HTTPStatus.BAD_GATEWAY
    return exc.status


def failure_reply(exc: CactusridgeError) -> Reply:
    """Return the reply for ``exc``.

    ``Retry-After``, in seconds, is set for a request that has not run if the
    wait is known.
    """
    raw = wire.encode({'error': exc.body()})
    headers = [('Content-Type', JSON_TYPE), ('Content-Length', str(len(raw)))]
    status = status_of(exc)
    if status in NOT_RUN_STATUSES and exc.retry_after_s is not None:
        headers.append(('Retry-After', f'{exc.retry_after_s:.3f}'))
    return Reply(status, headers, [raw])
