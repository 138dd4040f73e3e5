"""Parses one HTTP response and detects bytes that follow it."""

from collections.abc import Iterable

from cactusridge.http.bounded_framing import BoundedFraming
from cactusridge.http.reply_head import FIRST_FINAL_STATUS


class ReplyParser(BoundedFraming):
    """Keeps the first final response; bytes that follow it are surplus.

    Without this class a second response on the connection would replace the
    status and headers of the first one in the library's parser.
    """

    def __init__(self, method: str) -> None:
        """Parse the response to a request with ``method``."""
        super().__init__(method=method)
        self.status = 0
        self.surplus = False

    @property
    def head_complete(self) -> bool:
        """Whether status and headers of the final response are complete."""
        return bool(self.status)

    @property
    def complete(self) -> bool:
        """Whether the final response is complete, including its body."""
        return self.head_complete and self.message_complete

    def header_list(self) -> list[tuple[str, str]]:
        """Return the headers in order; repeated ones stay separate."""
        return list(_flatten(self.items()))

    def reusable(self) -> bool:
        """Return whether the connection may carry another request."""
        return self.complete and not self.surplus and not self.should_close()

    def take_body(self) -> bytes:
        """Return the body bytes received since the last call."""
        taken = bytes(self._body_buffer)
        self._body_buffer.clear()
        return taken

    def _on_message_begin(self) -> None:
        if self.complete:
            self.surplus = True
            return
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        if self.surplus:
            return True
        result = super()._on_headers_complete()
        if self.get_code() >= FIRST_FINAL_STATUS:
            self.status = self.get_code()
        return result

    def _on_header_field(self, string: str) -> None:
        if not self.surplus:
            super()._on_header_field(string)

    def _on_header_value(self, string: str) -> None:
        if not self.surplus:
            super()._on_header_value(string)

    def _on_body(self, buf: bytearray) -> None:
        if not self.surplus:
            super()._on_body(buf)


def _flatten(
    pairs: Iterable[tuple[str, str | list[str]]],
) -> Iterable[tuple[str, str]]:
    for name, held in pairs:
        texts = held if isinstance(held, list) else [held]
        for text in texts:
            yield name, text
