"""Parses replies strictly and bounds their bytes besides the body."""

from typing import Any

from geventhttpclient.response import (
    HTTPParseError,
    HTTPResponse,
    HTTPSocketPoolResponse,
)

from cactusridge.http.reply_head import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    ReplyHead,
)

# Most bytes of a reply besides its body: heads, sizes and extensions of
# chunks, and trailers. Small chunks may have more.
MAX_FRAMING_BYTES = 65_536
MAX_FRAMING_PER_BODY_BYTE = 16


class FramingTooLong(HTTPParseError):
    """The reply has too many bytes that are not part of its body."""


class BoundedFraming(HTTPResponse):
    """A parser of a reply that raises FramingTooLong and InvalidHead."""

    def __init__(self, *args: Any, **options: Any) -> None:
        """Take the arguments of the library's class, which may parse."""
        self._body_bytes = 0
        self._framing_bytes = 0
        super().__init__(*args, **options)

    @property
    def complete(self) -> bool:
        """Whether the reply is complete, including its body."""
        return bool(self.message_complete)

    @property
    def ends_with_connection(self) -> bool:
        """Whether the end of the connection is that of the body."""
        is_framed = CONTENT_LENGTH in self or TRANSFER_ENCODING in self
        return self.headers_complete and not (is_framed or self.complete)

    def feed(self, received: bytes) -> None:
        """Parse ``received``; raise HTTPParseError if it is no reply."""
        before = len(self._body_buffer)
        super().feed(received)
        body = len(self._body_buffer) - before
        self._body_bytes += body
        self._framing_bytes += len(received) - body
        more = MAX_FRAMING_PER_BODY_BYTE * self._body_bytes
        if self.complete or self._framing_bytes <= MAX_FRAMING_BYTES + more:
            return
        raise FramingTooLong(f'{self._framing_bytes} bytes besides the body')

    def _on_headers_complete(self) -> int | bool | None:
        skips_body = super()._on_headers_complete()
        ReplyHead(self.get_code(), self.info()).check()
        return skips_body


class BoundedPoolResponse(BoundedFraming, HTTPSocketPoolResponse):
    """A reply on a connection of the library's pool."""
