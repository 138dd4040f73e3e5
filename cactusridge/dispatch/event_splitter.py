"""Cuts a stream into whole events and knows the id of the last one."""

from typing import NamedTuple

END = b'\n\n'
ID_FIELD = b'id:'
DATA_FIELD = b'data:'


class StreamEvent(NamedTuple):
    """One event: its bytes with the blank line, its id and its data."""

    raw: bytes
    id: str | None
    payload: str


class EventSplitter:
    """Keeps what is not yet a whole event.

    An upstream may stop in the middle of an event. Only whole events
    are handed on, so that the stream can go on elsewhere after them.
    """

    def __init__(self, last_id: str | None = None) -> None:
        """Start after the event ``last_id``."""
        self.last_id = last_id
        self._rest = b''

    @property
    def pending(self) -> bool:
        """Whether part of an event has come."""
        return bool(self._rest)

    def feed(self, received: bytes) -> list[StreamEvent]:
        """Return the events that ``received`` completes."""
        whole = (self._rest + received).split(END)
        self._rest = whole.pop()
        found = [parse_event(raw + END) for raw in whole]
        for event in found:
            self.last_id = event.id or self.last_id
        return found

    def restart(self) -> None:
        """Drop the part of an event that came before a break."""
        self._rest = b''


def parse_event(raw: bytes) -> StreamEvent:
    """Return the event in ``raw``, as server-sent events have it."""
    event_id = None
    lines = []
    for line in raw.split(b'\n'):
        if line.startswith(ID_FIELD):
            event_id = line.removeprefix(ID_FIELD).strip().decode('latin-1')
        elif line.startswith(DATA_FIELD):
            lines.append(line.removeprefix(DATA_FIELD).removeprefix(b' '))
    return StreamEvent(raw, event_id, b'\n'.join(lines).decode())
