"""A caller that reads a stream and may stop or resume it at any entry."""

import contextlib
from collections.abc import Callable, Iterator
from http.client import HTTPConnection, HTTPException, HTTPResponse
from typing import NamedTuple

from cactusridge.dispatch.event_splitter import EventSplitter, StreamEvent
from cactusridge.http.client import Address
from standins.machines.site import HOST

DEADLINE_MS = 5000
TIMEOUT_S = 8


class StreamPart(NamedTuple):
    """What one attempt brought: its status, events and whether it is whole.

    ``events`` are the data of the events. ``last_id`` is the id of the last
    one, or of the one after which the attempt had to go on. ``left`` says
    whether the caller left, after enough events or after a gap.
    """

    status: int
    events: list[str]
    last_id: str
    whole: bool
    left: bool = False
    headers: dict[str, str] = {}

    def versions(self) -> set[str]:
        """Return the versions that the events are marked with."""
        return {each.partition('.')[0] for each in self.events}


class StreamCaller:
    """Opens streams at the entries of a site and reads their events."""

    def __init__(
        self,
        address_of: Callable[[str], Address],
        gap_s: float | None = None,
    ) -> None:
        """Call entries at the addresses that ``address_of`` their names has.

        After ``gap_s`` seconds without data the caller leaves a stream.
        """
        self._address_of = address_of
        self._gap_s = gap_s
        # The local address of the last connection.
        self.local_address: tuple[str, int] = ('', 0)

    def read(
        self,
        entry: str,
        request_id: str,
        body: bytes,
        events: int | None = None,
        resumes: str = '',
        after: str = '',
        keys: dict[str, str] | None = None,
    ) -> StreamPart:
        """Read up to ``events`` events of a stream, then leave.

        If ``after`` is given, the stream that the attempt ``resumes`` began
        goes on after that event.
        """
        headers = {
            'Host': HOST,
            'X-Attempt-Id': request_id,
            'X-Request-Deadline': str(DEADLINE_MS),
            **(keys or {}),
        }
        if resumes:
            headers['Resumes'] = resumes
        if after:
            headers['Last-Event-Id'] = after
        address = self._address_of(entry)
        conn = HTTPConnection(*address, timeout=self._gap_s or TIMEOUT_S)
        with contextlib.closing(conn):
            conn.connect()
            self.local_address = conn.sock.getsockname()
            conn.request('POST', '/again/1', body, headers)
            return self._read_part(conn.getresponse(), events, after)

    def _read_part(
        self, resp: HTTPResponse, count: int | None, last_id: str
    ) -> StreamPart:
        headers = dict(resp.getheaders())
        part = StreamPart(resp.status, [], last_id, False, False, headers)
        try:
            for event in _events(resp):
                part.events.append(event.payload)
                part = part._replace(last_id=event.id or part.last_id)
                if len(part.events) == count:
                    return part._replace(left=True)
        except TimeoutError:
            return part._replace(left=bool(self._gap_s))
        except (OSError, HTTPException):
            return part
        return part._replace(whole=True)


def _events(resp: HTTPResponse) -> Iterator[StreamEvent]:
    """Yield events with data; raises an error if the stream is cut off."""
    splitter = EventSplitter()
    while received := resp.read1():
        yield from (
            event for event in splitter.feed(received) if not event.is_blank
        )
