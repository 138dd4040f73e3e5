"""Kept connections to replicas, each used by one request at a time."""

import collections
import re
import socket as std_socket
from typing import NamedTuple

from gevent import socket

from cactusridge.clock import Clock
from cactusridge.dispatch.upstream import ConnectFailed
from cactusridge.fleet.life_listener import LifeListener
from cactusridge.http.client import Address
from cactusridge.http.probe import is_quiet

# Far over the way to any zone and back (under 10 ms), and short enough
# that another replica can still answer in time (aims from 100 ms).
CONNECT_TIMEOUT_S = 0.25
# A replica that names no time-out closes idle connections when it likes.
UNSTATED_IDLE_S = 2
# Sending on a connection that its replica is closing loses the request.
IDLE_MARGIN_S = 1
MAX_IDLE_S = 8
# Bytes that stay unacknowledged for longer mean that the way is cut.
UNACKED_TIMEOUT_MS = 2000
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2
STATED_IDLE = re.compile(r'timeout\s*=\s*(\d+)')


class Idle(NamedTuple):
    """A connection in no use and until when it may be used again."""

    sock: socket.socket
    until: float


def guard_silence(sock: socket.socket) -> None:
    """Let the kernel find out when the other end no longer answers."""
    tcp = std_socket.IPPROTO_TCP
    sock.setsockopt(tcp, std_socket.TCP_NODELAY, 1)
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, std_socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(tcp, std_socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(tcp, std_socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, std_socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)


def idle_s(stated: str) -> float:
    """Return how long a connection may idle, by its ``Keep-Alive``."""
    found = STATED_IDLE.search(stated)
    if found is None:
        return UNSTATED_IDLE_S
    return min(MAX_IDLE_S, int(found.group(1)) - IDLE_MARGIN_S)


class Connections(LifeListener):
    """Connections by the life of the replica, the latest used first.

    One to a former process never carries a request for its successor,
    also where both have the same id and address.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with none."""
        self._clock = clock
        self._idle: dict[str, collections.deque[Idle]] = {}

    def take(self, life: str, address: Address) -> socket.socket:
        """Return a kept or new connection; raise ConnectFailed."""
        kept = self._idle.get(life)
        while kept:
            idle = kept.pop()
            if idle.until > self._clock.monotonic() and is_quiet(idle.sock):
                return idle.sock
            idle.sock.close()
        return self.connect(address)

    def connect(self, address: Address) -> socket.socket:
        """Return a new connection; raise ConnectFailed."""
        try:
            sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
            guard_silence(sock)
        except OSError as exc:
            raise ConnectFailed(f'{address}: {exc!r}') from exc
        return sock

    def give_back(
        self,
        life: str,
        sock: socket.socket,
        keep_s: float,
    ) -> None:
        """Keep a connection for its replica's next request."""
        if keep_s <= 0:
            sock.close()
            return
        until = self._clock.monotonic() + keep_s
        kept = self._idle.setdefault(life, collections.deque())
        kept.append(Idle(sock, until))

    def life_ended(self, life: str) -> None:
        """Close the idle connections to a replica's former process."""
        for idle in self._idle.pop(life, ()):
            idle.sock.close()

    def trim(self) -> None:
        """Close what has idled for too long."""
        now = self._clock.monotonic()
        for life, kept in list(self._idle.items()):
            while kept and kept[0].until <= now:
                kept.popleft().sock.close()
            if not kept:
                self._idle.pop(life)
