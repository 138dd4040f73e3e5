"""Parses one reply strictly and detects the bytes that follow it."""

from typing import Any

from geventhttpclient.response import HTTPParseError, HTTPResponse

from cactusridge.http.reply_head import (
    CONTENT_LENGTH,
    FIRST_FINAL_STATUS,
    TRANSFER_ENCODING,
    ReplyHead,
    check_reason,
)

# Most bytes of a reply besides its body: heads, sizes and extensions of
# chunks, and trailers. Small chunks may have more.
MAX_FRAMING_BYTES = 65_536
MAX_FRAMING_PER_BODY_BYTE = 16


class FramingTooLong(HTTPParseError):
    """The reply has too many bytes that are not part of its body."""


class StrictReply(HTTPResponse):
    """A parser that keeps the first final reply.

    Bytes that follow it are surplus, and its connection is then not used again.
    In the library's parser they would replace its status and headers, and add
    to its body. ``feed`` raises FramingTooLong and InvalidHead.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Take the arguments of the library's class, which may parse."""
        self.status = 0
        self.surplus = False
        self._body_bytes = 0
        self._framing_bytes = 0
        super().__init__(*args, **options)

    @property
    def head_complete(self) -> bool:
        """Whether status and headers of the final reply are complete."""
        return bool(self.status)

    @property
    def complete(self) -> bool:
        """Whether the final reply is complete, including its body."""
        return self.head_complete and self.message_complete

    @property
    def ends_with_connection(self) -> bool:
        """Whether the end of the connection is that of the body."""
        is_framed = CONTENT_LENGTH in self or TRANSFER_ENCODING in self
        return self.head_complete and not (is_framed or self.complete)

    def get_code(self) -> int:
        """Return the status of the final reply, or of an interim one."""
        return self.status or super().get_code()

    def should_close(self) -> bool:
        """Return whether the connection may carry no other request."""
        return self.surplus or not self.complete or super().should_close()

    def feed(self, received: bytes) -> None:
        """Parse ``received``; raise HTTPParseError if it is no reply."""
        before = len(self._body_buffer)
        try:
            super().feed(received)
        except HTTPParseError:
            # Invalid bytes after a complete reply belong to no request.
            if not self.complete:
                raise
            self.surplus = True
        body = len(self._body_buffer) - before
        self._body_bytes += body
        self._framing_bytes += len(received) - body
        more = MAX_FRAMING_PER_BODY_BYTE * self._body_bytes
        if self.complete or self._framing_bytes <= MAX_FRAMING_BYTES + more:
            return
        raise FramingTooLong(f'{self._framing_bytes} bytes besides the body')

    def _on_message_begin(self) -> None:
        if self.complete:
            self.surplus = True
            return
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        if self.surplus:
            return True
        skips_body = super()._on_headers_complete()
        code = self.get_code()
        ReplyHead(self.get_http_version(), code, self.info()).check()
        if code >= FIRST_FINAL_STATUS:
            self.status = code
        return skips_body

    def _on_status(self, msg: str) -> None:
        if not self.surplus:
            check_reason(msg)
            super()._on_status(msg)

    def _on_header_field(self, string: str) -> None:
        if not self.surplus:
            super()._on_header_field(string)

    def _on_header_value(self, string: str) -> None:
        if not self.surplus:
            super()._on_header_value(string)

    def _on_body(self, buf: bytearray) -> None:
        if not self.surplus:
            super()._on_body(buf)
