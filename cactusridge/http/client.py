"""Keep-alive clients, one pool for each address."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from geventhttpclient.response import HTTPSocketPoolResponse

from cactusridge import wire
from cactusridge.http.patience import PatientClient

POOL_SIZE = 4096
BLOCK_SIZE = 65536


class Address(NamedTuple):
    """An IP number and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Return the address in ``host:port``."""
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


class Clients:
    """HTTP clients by address, made when first asked for."""

    def __init__(
        self,
        connect_timeout_s: float,
        silence_timeout_s: float,
    ) -> None:
        """Bound connecting and each wait for bytes, in seconds."""
        self.connect_timeout_s = connect_timeout_s
        self.silence_timeout_s = silence_timeout_s
        self._clients: dict[Address, PatientClient] = {}

    def send(
        self,
        address: Address,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | None = None,
        method: str = 'POST',
    ) -> HTTPSocketPoolResponse:
        """Return the reply as soon as its headers are there."""
        client = self._client(address)
        try:
            return client.request(method, path, body, dict(headers or {}))
        except RuntimeError as exc:
            if self._clients.get(address) is client:
                raise
            # The library says so when its pool is closed under a request
            # that waits for a connection, or for a second one.
            raise ConnectionResetError('dropped meanwhile') from exc

    def drop(self, address: Address) -> None:
        """Close the idle connections to ``address``; new ones replace them."""
        client = self._clients.pop(address, None)
        if client is not None:
            client.close()

    def get_json(self, address: Address, path: str, **options: Any) -> Any:
        """GET ``path`` and return its JSON with the status."""
        return self._json(address, path, b'', method='GET', **options)

    def post_json(
        self,
        address: Address,
        path: str,
        message: Any,
        **options: Any,
    ) -> Any:
        """POST ``message`` and return the reply's JSON with the status."""
        return self._json(address, path, wire.encode(message), **options)

    def _json(
        self,
        address: Address,
        path: str,
        raw: bytes,
        **options: Any,
    ) -> tuple[int, Any]:
        with self.send(address, path, raw, **options) as resp:
            body = resp.read()
            return resp.status_code, wire.decode(body)

    def _client(self, address: Address) -> PatientClient:
        client = self._clients.get(address)
        if client is None:
            client = PatientClient(
                address.host,
                address.port,
                concurrency=POOL_SIZE,
                block_size=BLOCK_SIZE,
                connection_timeout=self.connect_timeout_s,
                network_timeout=self.silence_timeout_s,
            )
            self._clients[address] = client
        return client
