"""HTTP client of the command line for the API of an entry."""

from collections.abc import Iterator
from http import HTTPStatus
from typing import Any
from urllib.parse import urlsplit

from geventhttpclient.response import HTTPParseError

from cactusridge import wire
from cactusridge.cli.failures import ErrorResponse, Unreachable
from cactusridge.http.client import Address, Clients

CONNECT_TIMEOUT_S = 3
READ_TIMEOUT_S = 60
DEFAULT_PORT = 8400
HINT = 'check --url or CACTUSRIDGE_URL, or try another entry'
IO_ERRORS = (OSError, HTTPParseError)


class Api:
    """Sends requests to one entry with one token."""

    def __init__(self, url: str, token: str, hint: str = HINT) -> None:
        """Connect to the entry at ``url``, whose host is an IP address.

        ``hint`` says what to do if it cannot be reached.
        """
        parts = urlsplit(url)
        host = parts.hostname or ''
        self.url = url
        self._hint = hint
        self._address = Address(host, parts.port or DEFAULT_PORT)
        self._headers = {'Authorization': f'Bearer {token}'}
        self._clients = Clients(
            CONNECT_TIMEOUT_S, READ_TIMEOUT_S, max_reply_bytes=None
        )

    def call(
        self,
        method: str,
        path: str,
        message: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Return the decoded JSON response of a request.

        Raises ErrorResponse for an error response and Unreachable if the
        connection fails.
        """
        raw = b'' if message is None else wire.encode(message)
        return wire.decode(self.raw(method, path, raw, headers))

    def raw(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> bytes:
        """Return the response body of a request.

        Raises ErrorResponse for an error response and Unreachable if the
        connection fails.
        """
        all_headers = {**self._headers, **(headers or {})}
        try:
            with self._clients.send(
                self._address,
                path,
                body,
                all_headers,
                method,
            ) as resp:
                response_body = resp.read()
                status = resp.status_code
        except IO_ERRORS as exc:
            raise self._unreachable(exc) from exc
        if status >= HTTPStatus.BAD_REQUEST:
            raise ErrorResponse(status, _parse_error(response_body))
        return response_body

    def events(self, path: str, message: Any) -> Iterator[Any]:
        """Yield the decoded JSON of each event of a streamed response.

        Raises ErrorResponse for an error response or an error event, and
        Unreachable if the connection fails.
        """
        raw = wire.encode(message)
        try:
            resp = self._clients.send(
                self._address,
                path,
                raw,
                self._headers,
            )
        except IO_ERRORS as exc:
            raise self._unreachable(exc) from exc
        if resp.status_code != HTTPStatus.OK:
            error = _parse_error(resp.read())
            raise ErrorResponse(resp.status_code, error)
        yield from self._parse_events(resp)

    def _parse_events(self, resp: Any) -> Iterator[Any]:
        while True:
            try:
                line = resp.readline(b'\n\n')
            except IO_ERRORS as exc:
                raise self._unreachable(exc) from exc
            text = line.removeprefix(b'data: ').strip()
            if text in {b'', b'[DONE]'}:
                return
            found = wire.decode(text)
            error = found.get('error')
            if error is not None:
                raise ErrorResponse(HTTPStatus.BAD_GATEWAY, error)
            yield found

    def _unreachable(self, exc: Exception) -> Unreachable:
        return Unreachable(
            f'{self.url} cannot be reached: {exc}',
            self._hint,
        )


def _parse_error(body: bytes) -> dict[str, Any]:
    found = wire.decode(body)
    return found['error'] if isinstance(found, dict) else {}
