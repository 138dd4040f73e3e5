"""The datagram socket between entries; each datagram is a JSON object."""

from collections.abc import Iterable, Mapping
from typing import Any

import orjson
from gevent import socket

from cactusridge import events, logs
from cactusridge.work_meter import METER

MAX_DATAGRAM_BYTES = 65_507
Target = tuple[str, int]


class PeerSocket:
    """Sends and receives at one address; send errors are logged."""

    def __init__(self, address: Target) -> None:
        """Create a socket for ``address``, which ``bind`` binds."""
        self.address = address
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def bind(self) -> None:
        """Bind the address; raises OSError if it is in use."""
        self._sock.bind(self.address)

    def send(
        self, targets: Iterable[Target], message: Mapping[str, Any]
    ) -> None:
        """Send the same message to each of ``targets``."""
        raw = orjson.dumps(message)
        for target in targets:
            self.send_to(target, raw)

    def send_to(self, target: Target, raw: bytes) -> None:
        """Send the datagram ``raw`` to one peer."""
        METER.steps['counts_told'] += 1
        try:
            self._sock.sendto(raw, target)
        except OSError as exc:
            logs.emit(
                events.PEER_UNREACHABLE,
                peer=peer_name(target),
                error=repr(exc),
            )

    def receive(self) -> tuple[bytes, Target]:
        """Wait for a datagram and return it with its sender; raises OSError."""
        raw, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
        METER.steps['counts_heard'] += 1
        return raw, sender


def peer_name(target: Target) -> str:
    """Return the address of a peer as the membership list names it."""
    host, port = target
    return f'{host}:{port}'
