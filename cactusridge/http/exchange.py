"""One request and its reply, as the handlers of both roles see them."""

import socket
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple
from urllib.parse import parse_qs

from cactusridge import wire
from cactusridge.errors import BadRequest, SlowRequest, TooLarge
from cactusridge.http.awake import PatientTimeout
from cactusridge.http.readable import is_readable

SOCKET_KEY = 'cactusridge.socket'
# The request target and the headers as they came: the WSGI environment
# has the path unquoted and repeated headers joined.
TARGET_KEY = 'cactusridge.target'
HEADERS_KEY = 'cactusridge.headers'
JSON_TYPE = 'application/json'
HEADER_PREFIX = 'HTTP_'
READ_BLOCK = 65536

Headers = list[tuple[str, str]]


class Reply(NamedTuple):
    """What a handler answers."""

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


class Req:
    """A request; built over the WSGI environment."""

    def __init__(
        self,
        environ: dict[str, Any],
        max_body: int,
        body_timeout_s: float,
    ) -> None:
        """Bound the body by ``max_body`` bytes and ``body_timeout_s``."""
        self.environ = environ
        self.method: str = environ['REQUEST_METHOD']
        self.path: str = environ['PATH_INFO']
        self.max_body = max_body
        self.body_timeout_s = body_timeout_s

    def header(self, name: str, default: str = '') -> str:
        """Return the header ``name``, any case."""
        key = name.upper().replace('-', '_')
        if key in {'CONTENT_TYPE', 'CONTENT_LENGTH'}:
            return self.environ.get(key) or default
        return self.environ.get(HEADER_PREFIX + key, default)

    def headers(self) -> Mapping[str, str]:
        """Return every header, names in lower case."""
        found = {
            key.removeprefix(HEADER_PREFIX).lower().replace('_', '-'): text
            for key, text in self.environ.items()
            if key.startswith(HEADER_PREFIX)
        }
        if self.header('Content-Type'):
            found['content-type'] = self.header('Content-Type')
        return found

    def query(self, name: str, default: str = '') -> str:
        """Return the first query argument called ``name``."""
        fields = parse_qs(self.environ.get('QUERY_STRING', ''))
        return fields.get(name, [default])[0]

    def body(self) -> bytes:
        """Return the whole body; raise when too large, slow or cut."""
        length = self.content_length()
        if length is not None and length > self.max_body:
            raise TooLarge(f'the body is over {self.max_body} bytes')
        with PatientTimeout(self.body_timeout_s, SlowRequest()):
            raw = self._read()
        if len(raw) > self.max_body:
            raise TooLarge(f'the body is over {self.max_body} bytes')
        if length is not None and len(raw) < length:
            raise BadRequest('the body is shorter than its Content-Length')
        return raw

    def json(self) -> Any:
        """Return the body as JSON."""
        return wire.decode(self.body())

    def content_length(self) -> int | None:
        """Return the stated length in bytes, or None."""
        text = self.header('Content-Length')
        if not text:
            return None
        if not text.isdecimal():
            raise BadRequest('Content-Length is no number')
        return int(text)

    def caller_gone(self) -> bool:
        """Tell whether the caller has closed its connection."""
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
        except OSError as exc:
            raise BadRequest(f'the body was cut: {exc}') from exc
