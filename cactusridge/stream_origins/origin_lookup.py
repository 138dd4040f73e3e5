"""One question to several entries for the origin of a stream."""

from collections.abc import Iterable

from gevent.event import Event

from cactusridge.fleet.stream_origin import StreamOrigin


class OriginLookup:
    """Collects the answers; over at the first origin or the last answer."""

    def __init__(self, asked: Iterable[str]) -> None:
        """Wait for the answers of the entries ``asked``."""
        self.pending = set(asked)
        self.origin: StreamOrigin | None = None
        self._over = Event()

    def receive(self, entry: str, origin: StreamOrigin | None) -> None:
        """Take the answer of an entry, None if it does not know the stream."""
        self.pending.discard(entry)
        self.origin = self.origin or origin
        if origin is not None or not self.pending:
            self._over.set()

    def wait(self, limit_s: float) -> bool:
        """Wait up to ``limit_s`` seconds; return whether it is over."""
        return self._over.wait(limit_s)
