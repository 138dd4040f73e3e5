"""Keep-alive HTTP clients with one connection pool for each address."""

from collections.abc import Mapping
from typing import Any, NamedTuple

from geventhttpclient.response import HTTPSocketPoolResponse

from cactusridge import wire
from cactusridge.http.unpaused_sockets import UnpausedClient

# The most connections of a pool.
POOL_SIZE = 4096
# Bytes that are read from a connection at a time.
BLOCK_SIZE = 65536
# Most bytes of a reply after its head, unless its reader sets another limit.
MAX_REPLY_BYTES = 67_108_864


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


def parse_address(text: str) -> Address:
    """Return the address in ``host:port``; raise ValueError."""
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


class Clients:
    """HTTP clients by address, created on first use."""

    def __init__(
        self,
        connect_timeout_s: float,
        silence_timeout_s: float,
        max_reply_bytes: int | None = MAX_REPLY_BYTES,
    ) -> None:
        """Limit connecting and each wait for bytes, in seconds.

        A reply may have ``max_reply_bytes`` after its head.
        """
        self._max_reply_bytes = max_reply_bytes
        self.connect_timeout_s = connect_timeout_s
        self.silence_timeout_s = silence_timeout_s
        self._clients: dict[Address, UnpausedClient] = {}

    def send(
        self,
        address: Address,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | None = None,
        method: str = 'POST',
    ) -> HTTPSocketPoolResponse:
        """Send a request and return its reply once the headers are received.

        Raises OSError, or the errors of geventhttpclient.
        """
        client = self._client(address)
        try:
            return client.request(method, path, body, dict(headers or {}))
        except RuntimeError as exc:
            if self._clients.get(address) is client:
                raise
            # geventhttpclient raises RuntimeError if its pool is closed
            # while a request waits for a first or a second connection.
            raise ConnectionResetError('the pool was closed') from exc

    def drop(self, address: Address) -> None:
        """Close the idle connections to ``address`` and discard its client."""
        client = self._clients.pop(address, None)
        if client is not None:
            client.close()

    def get_json(self, address: Address, path: str, **options: Any) -> Any:
        """Send a GET for ``path``; return the status and the reply's JSON."""
        return self._json(address, path, b'', method='GET', **options)

    def post_json(
        self,
        address: Address,
        path: str,
        message: Any,
        **options: Any,
    ) -> Any:
        """POST ``message`` as JSON; return the status and the reply's JSON."""
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

    def _client(self, address: Address) -> UnpausedClient:
        client = self._clients.get(address)
        if client is None:
            client = UnpausedClient(
                address.host,
                address.port,
                self._max_reply_bytes,
                concurrency=POOL_SIZE,
                block_size=BLOCK_SIZE,
                connection_timeout=self.connect_timeout_s,
                network_timeout=self.silence_timeout_s,
            )
            self._clients[address] = client
        return client
