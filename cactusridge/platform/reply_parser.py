"""Parses one answer and notices bytes that follow it."""

from collections.abc import Iterable

from geventhttpclient.response import HTTPResponse

FIRST_FINAL_STATUS = 200


class ReplyParser(HTTPResponse):
    """Keeps the first final answer; what follows it is surplus.

    The library would take a second answer on the wire for the one it
    was asked about and lose the first one's status and headers.
    """

    def __init__(self, method: str) -> None:
        """Parse the answer to a request with ``method``."""
        super().__init__(method=method)
        self.status = 0
        self.surplus = False

    @property
    def headed(self) -> bool:
        """Whether status and headers of the final answer are there."""
        return bool(self.status)

    @property
    def whole(self) -> bool:
        """Whether the final answer is there to its end."""
        return self.headed and self.message_complete

    def header_list(self) -> list[tuple[str, str]]:
        """Return the headers in order, repeated ones apart."""
        return list(_flat(self.items()))

    def reusable(self) -> bool:
        """Whether the connection may serve another request."""
        return self.whole and not self.surplus and not self.should_close()

    def take(self) -> bytes:
        """Return the bytes of the body that have come since the last call."""
        taken = bytes(self._body_buffer)
        self._body_buffer.clear()
        return taken

    def _on_message_begin(self) -> None:
        if self.whole:
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


def _flat(
    pairs: Iterable[tuple[str, str | list[str]]],
) -> Iterable[tuple[str, str]]:
    for name, held in pairs:
        texts = held if isinstance(held, list) else [held]
        for text in texts:
            yield name, text
