"""Messages between entries about the origins of streams."""

import functools
from collections.abc import Sequence
from typing import Any

from cactusridge.fleet.stream_origin import StreamOrigin
from cactusridge.http.client import parse_address
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.peer_socket import Target, peer_name
from cactusridge.stream_origins.origin_records import OriginLink, SharedOrigins

BEGUN = 'stream_begun'
ASKED = 'stream_asked'
ANSWERED = 'stream_answered'
# Size of the cache that lets all streams of one origin share an object.
KEPT_ORIGINS = 1024

_origin = functools.lru_cache(KEPT_ORIGINS)(StreamOrigin)


class StreamOriginMessages(OriginLink):
    """Sends and receives origins by datagram."""

    def __init__(self, peers: PeerExchange, records: SharedOrigins) -> None:
        """Connect ``records`` to the entries that ``peers`` reaches."""
        self._peers = peers
        self._records = records
        peers.on_message(BEGUN, self._handle_begun)
        peers.on_message(ASKED, self._handle_asked)
        peers.on_message(ANSWERED, self._handle_answered)
        records.connect(self)

    def send_record(
        self, entries: Sequence[str], stream_id: str, origin: StreamOrigin
    ) -> None:
        """Send the origin of a stream to ``entries``."""
        self._send(entries, BEGUN, [stream_id, *origin])

    def ask(self, entries: Sequence[str], stream_id: str) -> None:
        """Ask ``entries`` for the origin of a stream."""
        self._send(entries, ASKED, stream_id)

    def _send(self, entries: Sequence[str], topic: str, payload: Any) -> None:
        for entry in entries:
            self._peers.send_to(parse_address(entry), topic, payload)

    def _handle_begun(self, peer: Target, raw: Any) -> None:
        stream_id, service, version = raw
        origin = _origin(str(service), str(version))
        self._records.record(str(stream_id), origin)

    def _handle_asked(self, peer: Target, raw: Any) -> None:
        stream_id = str(raw)
        origin = self._records.known(stream_id)
        fields = [] if origin is None else list(origin)
        self._peers.send_to(peer, ANSWERED, [stream_id, fields])

    def _handle_answered(self, peer: Target, raw: Any) -> None:
        stream_id, fields = raw
        origin = _origin(*map(str, fields)) if fields else None
        self._records.receive(peer_name(peer), str(stream_id), origin)
