"""The answer to what comes too late into a planned stop."""

from http import HTTPStatus
from typing import Any

from cactusridge import events, logs
from cactusridge.errors import Draining
from cactusridge.http.app import error_reply
from cactusridge.http.exchange import HEADERS_KEY, SOCKET_KEY, TARGET_KEY

# Another process takes it at once, over a new connection.
TRY_NOW = ('Retry-After', '0')
# For how long the rest of a body is waited for, in seconds. Unread bytes
# would reset the connection under the answer, but a body that does not
# come must not hold the stop up.
BODY_S = 0.3


class LateRefusal:
    """A WSGI application: the process is stopping, nothing is run."""

    def __init__(self, id_header: str = '') -> None:
        """Log each request by its header ``id_header``, if there is one."""
        self._id_header = id_header.lower()

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Any,
    ) -> list[bytes]:
        """Refuse one request, to be sent elsewhere at once."""
        logs.emit(
            events.REQUEST_TOO_LATE,
            request=self._id_of(environ),
            target=environ[TARGET_KEY],
            whole=_read_out(environ),
        )
        reply = error_reply(Draining())
        reply.headers.append(TRY_NOW)
        phrase = HTTPStatus(reply.status).phrase
        start_response(f'{reply.status} {phrase}', reply.headers)
        return list(reply.body)

    def _id_of(self, environ: dict[str, Any]) -> str:
        found = (
            text
            for name, text in environ[HEADERS_KEY]
            if name.lower() == self._id_header
        )
        return next(found, '')


def _read_out(environ: dict[str, Any]) -> bool:
    """Read the body; tell whether the whole of it came."""
    environ[SOCKET_KEY].settimeout(BODY_S)
    try:
        environ['wsgi.input'].read()
    except OSError:
        return False
    return True
