"""Rejects requests that arrive too late during a planned stop."""

from http import HTTPStatus
from typing import Any

import gevent

from cactusridge import events, logs
from cactusridge.errors import Draining, StopLimit
from cactusridge.http.exchange import HEADERS_KEY, TARGET_KEY, json_reply

# The caller can retry at once: another process serves a new connection.
RETRY_AT_ONCE = ('Retry-After', '0')
CLOSE = ('Connection', 'close')
# Seconds to wait for the rest of a body. Closing the connection with unread
# bytes would reset it before the caller has read the reply, but a body that
# does not arrive must not delay the stop.
BODY_TIMEOUT_S = 0.3


class LateRefusal:
    """A WSGI application that rejects each request with ``draining``."""

    def __init__(self, id_header: str = '') -> None:
        """Log requests with their id, the header ``id_header`` if any."""
        self._id_header = id_header.lower()

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Any,
    ) -> list[bytes]:
        """Reject one request; the caller may retry it at once."""
        whole = _drain_body(environ)
        logs.emit(
            events.REQUEST_TOO_LATE,
            request=self._request_id(environ),
            target=environ[TARGET_KEY],
            whole=whole,
        )
        exc = Draining(retry_after_s=0)
        reply = json_reply({'error': exc.body()}, exc.status)
        reply.headers.append(RETRY_AT_ONCE)
        if not whole:
            reply.headers.append(CLOSE)
        phrase = HTTPStatus(reply.status).phrase
        start_response(f'{reply.status} {phrase}', reply.headers)
        return list(reply.body)

    def _request_id(self, environ: dict[str, Any]) -> str:
        found = (
            text
            for name, text in environ[HEADERS_KEY]
            if name.lower() == self._id_header
        )
        return next(found, '')


def _drain_body(environ: dict[str, Any]) -> bool:
    """Read the body; return whether all of it was received in time."""
    source = environ['wsgi.input']
    try:
        with gevent.Timeout(BODY_TIMEOUT_S, TimeoutError()):
            source.read()
    except (OSError, StopLimit):
        # Otherwise the library would wait for the rest after the reply.
        source.content_length = 0
        source.chunked_input = False
        return False
    return True
