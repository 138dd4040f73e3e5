"""Bounds the memory of answers that are received whole."""

from types import TracebackType
from typing import Self

from cactusridge.errors import TruncatedReply

MAX_BODY_BYTES = 16_777_216
# Size in bytes up to which a body is received however many others are.
SMALL_BODY_BYTES = 1_048_576
# Most bytes of all bodies over SMALL_BODY_BYTES together.
MAX_LARGE_BYTES = 33_554_432


class BodyTooLong(TruncatedReply):
    """A body is too long to be kept until it is complete."""


class BodyBuffers:
    """The bodies that this process is receiving."""

    def __init__(self) -> None:
        """Begin without a body."""
        self.large_bytes = 0

    def open(self) -> 'BodyBuffer':
        """Return a buffer for one body."""
        return BodyBuffer(self)


class BodyBuffer:
    """One body; a context manager that releases its memory."""

    def __init__(self, buffers: BodyBuffers) -> None:
        """Count the body in ``buffers`` once it is large."""
        self._buffers = buffers
        self._parts: list[bytes] = []
        self._size = 0
        self._counted = 0

    def __enter__(self) -> Self:
        """Return the buffer."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Count the body no longer."""
        self._buffers.large_bytes -= self._counted

    def add(self, part: bytes) -> None:
        """Append a part; raise BodyTooLong if the body is too long."""
        self._size += len(part)
        self._parts.append(part)
        if self._size <= SMALL_BODY_BYTES:
            return
        self._buffers.large_bytes += self._size - self._counted
        self._counted = self._size
        is_over = self._buffers.large_bytes > MAX_LARGE_BYTES
        if is_over or self._size > MAX_BODY_BYTES:
            raise BodyTooLong(f'the body has over {self._size} bytes')

    def whole(self) -> bytes:
        """Return the body."""
        return b''.join(self._parts)
