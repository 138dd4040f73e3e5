"""Calls from the command line to an entry."""

from collections.abc import Iterator
from http import HTTPStatus
from typing import Any
from urllib.parse import urlsplit

from geventhttpclient.response import HTTPParseError

from cactusridge import wire
from cactusridge.cli.failures import ServerSaidNo, Unreachable
from cactusridge.http.client import Address, Clients

CONNECT_S = 3
SILENCE_S = 60
DEFAULT_PORT = 8400
IO_ERRORS = (OSError, HTTPParseError)


class Api:
    """One entry, spoken to with one token."""

    def __init__(self, url: str, token: str) -> None:
        """Reach the entry at ``url``, whose host is an IP number."""
        parts = urlsplit(url)
        host = parts.hostname or ''
        self.url = url
        self._address = Address(host, parts.port or DEFAULT_PORT)
        self._headers = {'Authorization': f'Bearer {token}'}
        self._clients = Clients(CONNECT_S, SILENCE_S)

    def call(
        self,
        method: str,
        path: str,
        message: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Any:
        """Return the JSON of a call; raise ServerSaidNo or Unreachable."""
        raw = b'' if message is None else wire.encode(message)
        return wire.decode(self.raw(method, path, raw, headers))

    def raw(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> bytes:
        """Return the body of a call."""
        whole = {**self._headers, **(headers or {})}
        try:
            with self._clients.send(
                self._address,
                path,
                body,
                whole,
                method,
            ) as resp:
                answer = resp.read()
                status = resp.status_code
        except IO_ERRORS as exc:
            raise self._unreachable(exc) from exc
        if status >= HTTPStatus.BAD_REQUEST:
            raise ServerSaidNo(status, _error_of(answer))
        return answer

    def events(self, path: str, message: Any) -> Iterator[Any]:
        """Yield the JSON of each event of a streamed answer."""
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
            error = _error_of(resp.read())
            raise ServerSaidNo(resp.status_code, error)
        yield from self._parsed(resp)

    def _parsed(self, resp: Any) -> Iterator[Any]:
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
                raise ServerSaidNo(HTTPStatus.BAD_GATEWAY, error)
            yield found

    def _unreachable(self, exc: Exception) -> Unreachable:
        return Unreachable(
            f'{self.url} does not answer: {exc}',
            'check --url or CACTUSRIDGE_URL, or try another entry',
        )


def _error_of(body: bytes) -> dict[str, Any]:
    found = wire.decode(body)
    return found['error'] if isinstance(found, dict) else {}
