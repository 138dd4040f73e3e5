"""Splits a stream into complete server-sent events."""

from typing import NamedTuple

from cactusridge.errors import TruncatedReply

EVENT_END = b'\n\n'
# Longest event in bytes.
MAX_EVENT_BYTES = 1_048_576
# Most bytes of comments and blank lines between two events.
MAX_BLANK_BYTES = 65_536
ID_FIELD = b'id:'
DATA_FIELD = b'data:'


class EventTooLong(TruncatedReply):
    """An event, or what stands before it, is longer than its bound."""


class StreamEvent(NamedTuple):
    """A server-sent event.

    ``raw`` holds the bytes of the event with the blank line that ends it.
    """

    raw: bytes
    id: str | None

    @property
    def is_blank(self) -> bool:
        """Whether there is no data; such an event is none for its reader."""
        return not any(
            line.startswith(DATA_FIELD) for line in self.raw.split(b'\n')
        )

    @property
    def payload(self) -> str:
        """The data lines of the event, joined by newlines.

        Raises UnicodeDecodeError if they are not UTF-8.
        """
        fields = self.raw.split(b'\n')
        lines = [
            line.removeprefix(DATA_FIELD).removeprefix(b' ')
            for line in fields
            if line.startswith(DATA_FIELD)
        ]
        return b'\n'.join(lines).decode()


class EventSplitter:
    """Buffers received bytes until they form complete events.

    An upstream may stop in the middle of an event. Only complete events
    are returned, so that another replica can resume the stream after
    the last one, whose id is ``last_id``.
    """

    def __init__(self, last_id: str | None = None) -> None:
        """Begin a stream that follows the event with the id ``last_id``."""
        self.last_id = last_id
        self._buffer = b''
        self._blank_bytes = 0

    @property
    def pending(self) -> bool:
        """Whether part of an event has been received."""
        return bool(self._buffer)

    def feed(self, received: bytes) -> list[StreamEvent]:
        """Return the events that ``received`` completes.

        Raises EventTooLong.
        """
        whole = (self._buffer + received).split(EVENT_END)
        self._buffer = whole.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong(f'an event has over {MAX_EVENT_BYTES} bytes')
        found = [parse_event(raw + EVENT_END) for raw in whole]
        self._count_blank(found)
        for event in found:
            self.last_id = event.id or self.last_id
        return found

    def discard_partial(self) -> None:
        """Discard the incomplete event received before a stream broke."""
        self._buffer = b''
        self._blank_bytes = 0

    def _count_blank(self, found: list[StreamEvent]) -> None:
        for event in found:
            size = self._blank_bytes + len(event.raw)
            self._blank_bytes = size if event.is_blank else 0
            if self._blank_bytes > MAX_BLANK_BYTES:
                raise EventTooLong(f'{size} bytes without an event')


def parse_event(raw: bytes) -> StreamEvent:
    """Parse the server-sent event in ``raw``."""
    event_id = None
    for line in raw.split(b'\n'):
        if line.startswith(ID_FIELD):
            event_id = line.removeprefix(ID_FIELD).strip().decode('latin-1')
    return StreamEvent(raw, event_id)
