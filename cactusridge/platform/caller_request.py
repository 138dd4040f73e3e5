"""A caller's request with its raw target, headers and body."""

from http import HTTPStatus
from typing import Any

from cactusridge.dispatch.catalog import CallerLimits
from cactusridge.dispatch.upstream import HeaderList
from cactusridge.errors import BadRequest, TooLarge
from cactusridge.http.exchange import HEADERS_KEY, TARGET_KEY, Req
from cactusridge.platform import names
from cactusridge.quarantine.fingerprint import fingerprint_of

# Bytes of a header line besides name and value: colon, space and CRLF.
HEADER_OVERHEAD_BYTES = 4
MAX_REQUEST_ID_CHARS = 120


class HeaderTooLarge(TooLarge):
    """The headers are over the limit in force."""

    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    code = 'header_too_large'


class CallerRequest:
    """Raw target, headers and body, with checked framing and header size."""

    def __init__(
        self,
        environ: dict[str, Any],
        limits: CallerLimits,
    ) -> None:
        """Check the headers; raise BadRequest or HeaderTooLarge."""
        self.method: str = environ['REQUEST_METHOD']
        self.target: str = environ[TARGET_KEY]
        self.headers: HeaderList = environ[HEADERS_KEY]
        self._req = Req(environ, limits.body_bytes, limits.idle_s)
        self._check(limits)

    @property
    def path(self) -> str:
        """Return the raw path, without the query."""
        return self.target.partition('?')[0]

    @property
    def host(self) -> str:
        """Return the host name in the ``Host`` header, without a port."""
        return self.header('Host').partition(':')[0]

    @property
    def id(self) -> str:
        """Return the id of the caller's attempt; empty if it sent none."""
        return self.header(names.REQUEST_ID)

    @property
    def authorization(self) -> str:
        """Return the ``Authorization`` header; empty if there is none.

        Raises BadRequest if several such headers differ.
        """
        found = [
            text
            for name, text in self.headers
            if name.lower() == names.AUTHORIZATION.lower()
        ]
        if len(set(found)) > 1:
            raise BadRequest(f'the {names.AUTHORIZATION} headers differ')
        return found[0] if found else ''

    def headers_without_authorization(self) -> HeaderList:
        """Return the headers except ``Authorization``."""
        return without_authorization(self.headers)

    def fingerprint(self, organisation: str, body: bytes) -> str:
        """Return the fingerprint that all repeats of this request share.

        The caller's address is left out, because a request may be repeated
        from another address. ``organisation`` is empty for all callers if
        no organisations are configured.
        """
        return fingerprint_of(
            organisation,
            self.method,
            self.host,
            self.target,
            body,
        )

    def header(self, name: str, default: str = '') -> str:
        """Return the first header with this name in any letter case."""
        wanted = name.lower()
        for found, text in self.headers:
            if found.lower() == wanted:
                return text
        return default

    def query(self, name: str, default: str = '') -> str:
        """Return the first query argument with this name."""
        return self._req.query(name, default)

    def body(self) -> bytes:
        """Return the whole body."""
        return self._req.body()

    def time_left_s(self, default_s: float) -> float:
        """Return how long the caller waits, in seconds; raise BadRequest."""
        text = self.header(names.REQUEST_DEADLINE)
        try:
            return float(text) / names.MS_PER_S if text else default_s
        except ValueError as exc:
            raise BadRequest(
                f'{names.REQUEST_DEADLINE} is not a number'
            ) from exc

    def _check(self, limits: CallerLimits) -> None:
        size = sum(
            len(name) + len(text) + HEADER_OVERHEAD_BYTES
            for name, text in self.headers
        )
        if size > limits.header_bytes:
            raise HeaderTooLarge(f'headers over {limits.header_bytes} bytes')
        lengths = self._header_values('content-length')
        codings = self._header_values('transfer-encoding')
        if len(lengths) > 1 or (lengths and codings):
            raise BadRequest('the body has more than one length header')
        if codings and codings != ['chunked']:
            raise BadRequest('the Transfer-Encoding is not supported')
        if any('\r' in text or '\n' in text for _, text in self.headers):
            raise BadRequest('folded header lines are not supported')
        if len(self.id) > MAX_REQUEST_ID_CHARS:
            raise BadRequest(f'{names.REQUEST_ID} is too long')

    def _header_values(self, name: str) -> list[str]:
        return [
            text.strip().lower()
            for found, text in self.headers
            if found.lower() == name
        ]


def without_authorization(headers: HeaderList) -> HeaderList:
    """Return ``headers`` without ``Authorization`` in any letter case."""
    dropped = names.AUTHORIZATION.lower()
    return [(name, text) for name, text in headers if name.lower() != dropped]
