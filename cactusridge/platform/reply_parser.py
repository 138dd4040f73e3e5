"""Parses one HTTP response of a replica."""

from collections.abc import Iterable

from cactusridge.http.strict_reply import StrictReply


class ReplyParser(StrictReply):
    """A reply whose bytes are fed by the greenlet that receives them."""

    def __init__(self, method: str) -> None:
        """Parse the response to a request with ``method``."""
        super().__init__(method=method)

    def header_list(self) -> list[tuple[str, str]]:
        """Return the headers in order; repeated ones stay separate."""
        return list(_flatten(self.items()))

    def take_body(self) -> bytes:
        """Return the body bytes received since the last call."""
        taken = bytes(self._body_buffer)
        self._body_buffer.clear()
        return taken


def _flatten(
    pairs: Iterable[tuple[str, str | list[str]]],
) -> Iterable[tuple[str, str]]:
    for name, held in pairs:
        texts = held if isinstance(held, list) else [held]
        for text in texts:
            yield name, text
