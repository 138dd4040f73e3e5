"""A response stream whose first part is read before its head is sent."""

from collections.abc import Generator, Iterator


class PrefetchedStream:
    """Yields the parts of a stream; the constructor reads the first one.

    An error before the first part is raised from the constructor, while an
    error status can still be sent to the caller. After an error in a later
    part the response can only be cut off.
    """

    def __init__(self, parts: Generator[bytes, None, None]) -> None:
        """Read the first part; raise the error that precedes it."""
        self._parts = parts
        self._first: list[bytes] = [next(parts, b'')]

    def __iter__(self) -> Iterator[bytes]:
        """Return this object, which yields the parts in order."""
        return self

    def __next__(self) -> bytes:
        """Return the next part."""
        if self._first:
            return self._first.pop()
        return next(self._parts)

    def close(self) -> None:
        """Close the stream, even if it was read only in part."""
        self._parts.close()
