"""A reply on a connection of the library's pool."""

from geventhttpclient.response import (
    HTTPConnectionClosed,
    HTTPSocketPoolResponse,
)

from cactusridge.http.peer_end import confirm_end
from cactusridge.http.strict_reply import StrictReply


class PooledReply(StrictReply, HTTPSocketPoolResponse):
    """Releases its connection once its last bytes have been parsed.

    The library does so as soon as a message is complete, which may be an
    interim response, and before it has parsed the bytes that follow.
    """

    def feed(self, received: bytes) -> None:
        """Parse ``received``; raise HTTPParseError if it is no reply.

        Raises OSError at an end of the connection that is none of the reply.
        """
        if not received and self.ends_with_connection:
            confirm_end(self._sock, self._sock.gettimeout())
        super().feed(received)
        if self.complete:
            self.release()

    def read_part(self) -> bytes:
        """Return the next bytes of the body as they arrive, none at its end.

        Raises OSError and HTTPParseError.
        """
        while not (self._body_buffer or self.message_complete):
            self._receive()
        taken = bytes(self._body_buffer)
        self._body_buffer.clear()
        return taken

    def _receive(self) -> None:
        if self._sock is None:
            raise HTTPConnectionClosed('the connection has been released')
        try:
            self.feed(self._sock.recv(self.block_size))
        except BaseException:
            self.release()
            raise

    def _on_message_complete(self) -> None:
        self.message_complete = True
