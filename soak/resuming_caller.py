"""A caller that leaves streams and resumes them at other entries."""

import random
import time
from http.client import HTTPException
from typing import NamedTuple

import gevent

from soak.checks import check_one_version
from soak.organisations import key_headers
from soak.record import Call, CallEnd
from soak.versions import without_marks
from soak.world import World
from standins.machines.stream_caller import StreamCaller, StreamPart

MIN_EVENTS = 8
MAX_EVENTS = 40
EVENT_S = 0.03
# Most attempts at one stream.
ATTEMPTS = 4
MAX_PAUSE_S = 0.4
KIND = 'resumed'


def _end_of(part: StreamPart) -> CallEnd:
    if part.left:
        return CallEnd.caller_closed
    return CallEnd.whole if part.whole else CallEnd.cut


class Begun(NamedTuple):
    """A stream: its first attempt, its body and the parts received so far."""

    id: str
    body: bytes
    parts: list[StreamPart]

    @property
    def last_id(self) -> str:
        """The id of the last event received, empty if there is none."""
        return self.parts[-1].last_id if self.parts else ''

    def texts(self) -> list[str]:
        """Return the data of all events, with their marks."""
        return [text for part in self.parts for text in part.events]


class ResumingCaller:
    """Reads streams in several attempts, each at an entry drawn anew."""

    prefix = 'r'

    def __init__(self, world: World, name: str, seed: int) -> None:
        """Create a caller that draws streams and entries with ``seed``."""
        self._world = world
        self._name = name
        self._rng = random.Random(seed)  # noqa: S311
        self._caller = StreamCaller(self._address_of, world.gap_s)
        self._count = 0

    def run(self) -> None:
        """Read one stream after another until the soak ends."""
        while not self._world.finished:
            self._read_stream()
            gevent.sleep(self._rng.uniform(0, MAX_PAUSE_S))

    def _read_stream(self) -> None:
        count = self._rng.randint(MIN_EVENTS, MAX_EVENTS)
        stream = Begun('', f'{count} {EVENT_S}'.encode(), [])
        for _ in range(ATTEMPTS):
            request_id = self._next_id()
            part = self._try(request_id, stream)
            if part is None or not part.events:
                continue
            # The attempt that brought the first event names the stream.
            stream = stream._replace(id=stream.id or request_id)
            stream.parts.append(part)
            if part.whole:
                break
        self._check(stream)

    def _try(self, request_id: str, stream: Begun) -> StreamPart | None:
        """Make one attempt; return None if it brought no answer."""
        entry = self._rng.choice(sorted(self._world.caller_links))
        leaves_after = self._rng.randint(1, MAX_EVENTS)
        record = self._world.record
        key = record.organisations.draw_key(self._rng)
        sent_at = time.monotonic()
        part = None
        end = CallEnd.closed
        try:
            part = self._caller.read(
                entry,
                request_id,
                stream.body,
                leaves_after,
                stream.id,
                stream.last_id,
                key_headers(key),
            )
        except TimeoutError:
            gap = self._world.gap_s
            end = CallEnd.caller_closed if gap else CallEnd.silent
        except (OSError, HTTPException):
            link = self._world.caller_links[entry]
            if self._caller.local_address in link.unforwarded_clients:
                end = CallEnd.unreached
        record.calls.append(
            Call(
                request_id,
                KIND,
                entry,
                sent_at,
                time.monotonic(),
                end if part is None else _end_of(part),
                None if part is None else part.status,
                headers={} if part is None else part.headers,
                key=key,
            )
        )
        return part

    def _check(self, stream: Begun) -> None:
        """Check that the parts fit together."""
        texts = stream.texts()
        record = self._world.record
        check_one_version(record, stream.id, texts)
        numbers = [
            int(without_marks(text).rpartition('.')[-1]) for text in texts
        ]
        if numbers != list(range(1, len(numbers) + 1)):
            record.add_violation('events in order', f'{stream.id}: {texts}')
        is_whole = bool(stream.parts) and stream.parts[-1].whole
        if is_whole and len(numbers) != int(stream.body.split()[0]):
            record.add_violation('whole answer', f'{stream.id}: {texts}')

    def _next_id(self) -> str:
        self._count += 1
        return f'{self._name}-{self._count}'

    def _address_of(self, entry: str) -> tuple[str, int]:
        return self._world.caller_links[entry].address
