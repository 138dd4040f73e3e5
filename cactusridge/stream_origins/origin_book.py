"""The origins of streams that one entry keeps."""

from collections import OrderedDict

from cactusridge.fleet.stream_origin import StreamOrigin

# Limits how many streams have their origins kept; the one that was recorded
# first is dropped first.
MAX_STREAMS = 32_768


class OriginBook:
    """Origins by stream id, the id of the attempt with the first event."""

    def __init__(self, max_streams: int = MAX_STREAMS) -> None:
        """Create an empty book for ``max_streams`` streams."""
        self._max_streams = max_streams
        # None for an id under which streams of several origins have begun.
        self._origins: OrderedDict[str, StreamOrigin | None] = OrderedDict()

    def record(self, stream_id: str, origin: StreamOrigin) -> None:
        """Record an origin as the newest; a contradiction makes it unknown."""
        known = self._origins.pop(stream_id, origin)
        self._origins[stream_id] = origin if known == origin else None
        if len(self._origins) > self._max_streams:
            self._origins.popitem(last=False)

    def find(self, stream_id: str) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is unknown."""
        return self._origins.get(stream_id)
