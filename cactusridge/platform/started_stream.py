"""The body of a stream whose first part is there before its head goes out."""

from collections.abc import Generator, Iterator


class StartedStream:
    """Yields the parts of a stream, the first of which is read at once.

    What fails before the first part is raised here, while the caller can
    still be told so by a status; later the answer can only be cut.
    """

    def __init__(self, parts: Generator[bytes, None, None]) -> None:
        """Read the first part; raise what ends ``parts`` before it."""
        self._parts = parts
        self._first: list[bytes] = [next(parts, b'')]

    def __iter__(self) -> Iterator[bytes]:
        """Return the parts in order, this object itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next part."""
        if self._first:
            return self._first.pop()
        return next(self._parts)

    def close(self) -> None:
        """End the stream, whoever has stopped reading it."""
        self._parts.close()
