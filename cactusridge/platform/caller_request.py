"""A caller's request as it came over the wire."""

from http import HTTPStatus
from typing import Any

from cactusridge.dispatch.catalog import CallerLimits
from cactusridge.dispatch.upstream import HeaderList
from cactusridge.errors import BadRequest, TooLarge
from cactusridge.http.exchange import HEADERS_KEY, TARGET_KEY, Req
from cactusridge.platform import names
from cactusridge.quarantine.fingerprint import fingerprint_of

LINE_BYTES = 4
MAX_ID = 120


class HeaderTooLarge(TooLarge):
    """The headers are over the limit in force."""

    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    code = 'header_too_large'


class CallerRequest:
    """Raw target, headers and body; checked for framing and size."""

    def __init__(
        self,
        environ: dict[str, Any],
        limits: CallerLimits,
    ) -> None:
        """Check the headers of the request in ``environ``."""
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
        """Return the host name that the request is for."""
        return self.header('Host').partition(':')[0]

    @property
    def id(self) -> str:
        """Return the id of this attempt of the caller."""
        return self.header(names.REQUEST_ID)

    @property
    def authorization(self) -> str:
        """Return what the caller proves itself with; empty without any."""
        found = [
            text
            for name, text in self.headers
            if name.lower() == names.AUTHORIZATION.lower()
        ]
        if len(set(found)) > 1:
            raise BadRequest(f'{names.AUTHORIZATION} is stated twice')
        return found[0] if found else ''

    def headers_without_key(self) -> HeaderList:
        """Return the headers but for what the caller proves itself with."""
        return without_key(self.headers)

    def fingerprint(self, organisation: str, body: bytes) -> str:
        """Return what repeats of this request with ``body`` share.

        The address says nothing of who calls: the same request comes again
        from others. Where there are no organisations all callers are one.
        """
        return fingerprint_of(
            organisation,
            self.method,
            self.host,
            self.target,
            body,
        )

    def header(self, name: str, default: str = '') -> str:
        """Return the first header with this name, any case."""
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
        """Return for how long the caller waits, in seconds."""
        text = self.header(names.TIME_LEFT)
        try:
            return float(text) / names.MS if text else default_s
        except ValueError as exc:
            raise BadRequest(f'{names.TIME_LEFT} is no number') from exc

    def _check(self, limits: CallerLimits) -> None:
        size = sum(
            len(name) + len(text) + LINE_BYTES for name, text in self.headers
        )
        if size > limits.header_bytes:
            raise HeaderTooLarge(f'headers over {limits.header_bytes} bytes')
        lengths = self._all('content-length')
        codings = self._all('transfer-encoding')
        if len(lengths) > 1 or (lengths and codings):
            raise BadRequest('the length of the body is stated twice')
        if codings and codings != ['chunked']:
            raise BadRequest('a transfer coding that is not served')
        if any('\r' in text or '\n' in text for _, text in self.headers):
            raise BadRequest('a header is folded')
        if len(self.id) > MAX_ID:
            raise BadRequest(f'{names.REQUEST_ID} is too long')

    def _all(self, name: str) -> list[str]:
        return [
            text.strip().lower()
            for found, text in self.headers
            if found.lower() == name
        ]


def without_key(headers: HeaderList) -> HeaderList:
    """Return ``headers`` without the caller's key, in any spelling."""
    dropped = names.AUTHORIZATION.lower()
    return [(name, text) for name, text in headers if name.lower() != dropped]
