"""A client for one request, which is never sent again."""

from typing import Any

from geventhttpclient.response import HTTPSocketPoolResponse

from cactusridge.http.unpaused_sockets import (
    MAX_HEAD_BYTES,
    UnpausedClient,
    UnpausedPool,
    UnpausedSocket,
)

# The library sends a request that changes nothing once more than this.
NO_RESENDS = -1


class SingleUsePool(UnpausedPool):
    """A pool of one connection, which is closed after its request."""

    def __init__(self, sock: UnpausedSocket, address: tuple[str, int]) -> None:
        """Use ``sock``, which is connected to ``address``."""
        super().__init__(*address, *address, size=1)
        self.size = NO_RESENDS
        self._sock = sock

    def get_socket(self) -> UnpausedSocket:
        """Return the connection, on which the head of a reply is expected."""
        self._sock.bytes_left = MAX_HEAD_BYTES
        return self._sock

    def return_socket(self, sock: UnpausedSocket) -> None:
        """Close the connection after a whole reply."""
        sock.close()

    def release_socket(self, sock: UnpausedSocket) -> None:
        """Close the connection after a broken reply."""
        sock.close()


class SingleUseClient(UnpausedClient):
    """Sends one request on a connection, which it closes."""

    def __init__(
        self,
        sock: UnpausedSocket,
        address: tuple[str, int],
        max_reply_bytes: int,
    ) -> None:
        """Use ``sock``, which is connected to ``address``.

        A reply may have ``max_reply_bytes`` after its head.
        """
        wait_s = sock.gettimeout()
        super().__init__(
            *address,
            max_reply_bytes,
            concurrency=1,
            connection_timeout=wait_s,
            network_timeout=wait_s,
        )
        self._connection_pool = SingleUsePool(sock, address)
        self._sock = sock

    def request(self, *args: Any, **options: Any) -> HTTPSocketPoolResponse:
        """Send the request; return its reply once the head is complete."""
        try:
            return super().request(*args, **options)
        except BaseException:
            self._sock.close()
            raise
