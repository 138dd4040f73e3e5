"""The request and the reply that handlers receive and return."""

import socket
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple
from urllib.parse import parse_qs

from cactusridge import wire
from cactusridge.errors import BadRequest, SlowRequest, StopLimit, TooLarge
from cactusridge.http.readable import is_readable
from cactusridge.http.unpaused_time import UnpausedTimeout

SOCKET_KEY = 'cactusridge.socket'
# The request target and the headers in their original form: in the WSGI
# environment the path is unquoted and repeated headers are joined.
TARGET_KEY = 'cactusridge.target'
HEADERS_KEY = 'cactusridge.headers'
# The id of the request, set by the application once it is known.
REQUEST_KEY = 'cactusridge.request'
JSON_TYPE = 'application/json'
HEADER_PREFIX = 'HTTP_'
READ_BLOCK = 65536

Headers = list[tuple[str, str]]


class Reply(NamedTuple):
    """The status, headers and body that a handler returns."""

    status: int
    headers: Headers
    body: Iterable[bytes]


def json_reply(message: Any, status: int = 200) -> Reply:
    """Return ``message`` as a JSON reply."""
    raw = wire.encode(message)
    headers = [
        ('Content-Type', JSON_TYPE),
        ('Content-Length', str(len(raw))),
    ]
    return Reply(status, headers, [raw])


class UnreadableBody(BadRequest):
    """The body is cut off or malformed; where it ends is not known."""


class Req:
    """A request, read from its WSGI environment."""

    def __init__(
        self,
        environ: dict[str, Any],
        max_body: int,
        body_timeout_s: float,
    ) -> None:
        """Limit the body to ``max_body`` bytes and ``body_timeout_s``."""
        self.environ = environ
        self.method: str = environ['REQUEST_METHOD']
        self.path: str = environ['PATH_INFO']
        self.max_body = max_body
        self.body_timeout_s = body_timeout_s

    def header(self, name: str, default: str = '') -> str:
        """Return the header ``name``, whose case does not matter."""
        key = name.upper().replace('-', '_')
        if key in {'CONTENT_TYPE', 'CONTENT_LENGTH'}:
            return self.environ.get(key) or default
        return self.environ.get(HEADER_PREFIX + key, default)

    def headers(self) -> Mapping[str, str]:
        """Return all headers by their names in lower case."""
        found = {
            key.removeprefix(HEADER_PREFIX).lower().replace('_', '-'): text
            for key, text in self.environ.items()
            if key.startswith(HEADER_PREFIX)
        }
        if self.header('Content-Type'):
            found['content-type'] = self.header('Content-Type')
        return found

    def query(self, name: str, default: str = '') -> str:
        """Return the first query argument ``name``."""
        fields = parse_qs(self.environ.get('QUERY_STRING', ''))
        return fields.get(name, [default])[0]

    def body(self) -> bytes:
        """Return the whole body.

        Raises TooLarge, SlowRequest, UnreadableBody, BadRequest if the body
        is shorter than its Content-Length, or StopLimit.
        """
        length = self.content_length()
        if length is not None and length > self.max_body:
            raise TooLarge(f'the body is over {self.max_body} bytes')
        with UnpausedTimeout(self.body_timeout_s, SlowRequest()):
            raw = self._read()
        if len(raw) > self.max_body:
            raise TooLarge(f'the body is over {self.max_body} bytes')
        if length is not None and len(raw) < length:
            raise BadRequest('the body is shorter than its Content-Length')
        return raw

    def json(self) -> Any:
        """Return the decoded JSON of the body; raise like ``body``."""
        return wire.decode(self.body())

    def content_length(self) -> int | None:
        """Return the Content-Length in bytes, or None; raise BadRequest."""
        text = self.header('Content-Length')
        if not text:
            return None
        if not text.isdecimal():
            raise BadRequest('Content-Length is not a number')
        return int(text)

    def caller_disconnected(self) -> bool:
        """Return whether the caller has closed its connection."""
        sock = self.environ.get(SOCKET_KEY)
        if sock is None:
            return False
        try:
            return is_readable(sock) and not sock.recv(1, socket.MSG_PEEK)
        except (OSError, ValueError):
            return True

    def _read(self) -> bytes:
        source = self.environ['wsgi.input']
        try:
            return source.read(self.max_body + 1)
        except (OSError, ValueError) as exc:
            # The library raises ValueError for a chunk size without a digit.
            raise UnreadableBody(f'the body could not be read: {exc}') from exc
        except StopLimit as limit:
            limit.not_run = True
            raise
