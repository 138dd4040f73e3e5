"""Remembers the origins of streams, in this entry and in others."""

import abc
from collections import defaultdict
from collections.abc import Sequence

from cactusridge.fleet.stream_origin import StreamOrigin
from cactusridge.stream_origins.origin_book import OriginBook
from cactusridge.stream_origins.origin_holders import OriginHolders
from cactusridge.stream_origins.origin_lookup import OriginLookup

# Number of entries that keep the origin of a stream besides its own entry.
HOLDERS = 3
# Number of entries that are asked: some of the holders may have joined after
# the stream began.
ASKED = 5
# Time in seconds after which entries that have not answered are asked again.
ASK_INTERVAL_S = 0.06
ASK_TIMES = 3


class OriginRecords(abc.ABC):
    """Records the origins of streams and finds them again."""

    @abc.abstractmethod
    def publish(self, stream_id: str, origin: StreamOrigin) -> None:
        """Record where a stream begins, before its first event goes out."""

    @abc.abstractmethod
    def find(self, stream_id: str) -> StreamOrigin | None:
        """Return where a stream began, None if that is not known.

        May wait for other entries.
        """


class OriginLink(abc.ABC):
    """Sends messages about the origins of streams to other entries."""

    @abc.abstractmethod
    def send_record(
        self, entries: Sequence[str], stream_id: str, origin: StreamOrigin
    ) -> None:
        """Send an origin to ``entries``, once; it may be lost."""

    @abc.abstractmethod
    def ask(self, entries: Sequence[str], stream_id: str) -> None:
        """Ask ``entries`` for an origin, once; it may be lost."""


class OwnStreams(OriginRecords):
    """Naive: knows the streams that this entry itself has begun."""

    def __init__(self) -> None:
        """Create records without any stream."""
        self._book = OriginBook()

    def publish(self, stream_id: str, origin: StreamOrigin) -> None:
        """Record the origin here."""
        self._book.record(stream_id, origin)

    def find(self, stream_id: str) -> StreamOrigin | None:
        """Return the origin of a stream that began here."""
        return self._book.find(stream_id)


class SharedOrigins(OriginRecords):
    """Keeps each origin at a few entries, which the stream id chooses.

    It is sent to them before the caller gets the first event, so that it
    arrives before any entry can ask for it.
    """

    def __init__(self, own_name: str, holders: OriginHolders) -> None:
        """Create records of the entry ``own_name``."""
        self._own_name = own_name
        self._holders = holders
        self._book = OriginBook()
        self._link: OriginLink | None = None
        self._lookups: defaultdict[str, list[OriginLookup]] = defaultdict(list)

    def connect(self, link: OriginLink) -> None:
        """Send messages through ``link``."""
        self._link = link

    def publish(self, stream_id: str, origin: StreamOrigin) -> None:
        """Record the origin here and at the holders of the stream."""
        self._book.record(stream_id, origin)
        if self._link is not None:
            others = self._others(stream_id, HOLDERS)
            self._link.send_record(others, stream_id, origin)

    def find(self, stream_id: str) -> StreamOrigin | None:
        """Return the origin if this entry or one that it asks has it."""
        known = self._book.find(stream_id)
        asked = self._others(stream_id, ASKED)
        if known is not None or not asked or self._link is None:
            return known
        lookup = OriginLookup(asked)
        self._lookups[stream_id].append(lookup)
        try:
            self._ask(self._link, stream_id, lookup)
        finally:
            self._lookups[stream_id].remove(lookup)
            if not self._lookups[stream_id]:
                self._lookups.pop(stream_id)
        return lookup.origin

    def record(self, stream_id: str, origin: StreamOrigin) -> None:
        """Record an origin that another entry has sent."""
        self._book.record(stream_id, origin)

    def known(self, stream_id: str) -> StreamOrigin | None:
        """Return an origin that this entry has, for another one that asks."""
        return self._book.find(stream_id)

    def receive(
        self, entry: str, stream_id: str, origin: StreamOrigin | None
    ) -> None:
        """Take the answer of an entry that was asked."""
        for lookup in self._lookups.get(stream_id, ()):
            lookup.receive(entry, origin)

    def _ask(
        self, link: OriginLink, stream_id: str, lookup: OriginLookup
    ) -> None:
        for _ in range(ASK_TIMES):
            link.ask(sorted(lookup.pending), stream_id)
            if lookup.wait(ASK_INTERVAL_S):
                return

    def _others(self, stream_id: str, count: int) -> list[str]:
        names = self._holders.of(stream_id, count)
        return [name for name in names if name != self._own_name]
