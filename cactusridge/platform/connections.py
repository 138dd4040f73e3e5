"""A pool of connections to replicas; each serves one request at a time."""

import collections
import re
import socket as std_socket
import weakref
from typing import NamedTuple

from gevent import socket

from cactusridge.clock import Clock
from cactusridge.dispatch.upstream import ConnectFailed, ConnectTimedOut
from cactusridge.fleet.incarnation_listener import IncarnationListener
from cactusridge.fleet.process_evidence import ProcessEvidence
from cactusridge.http.client import Address
from cactusridge.http.probe import is_quiet

# Far above a round trip to any availability zone (under 10 ms), and short
# enough that another replica can still respond in time (the shortest target
# latencies are 100 ms).
CONNECT_TIMEOUT_S = 0.25
# Idle limit for a replica that states no timeout in ``Keep-Alive``, since it
# may close an idle connection at any time.
DEFAULT_IDLE_S = 2
# Seconds by which the idle limit is shorter than the stated timeout: a request
# that is sent while the replica closes the connection is lost.
IDLE_MARGIN_S = 1
MAX_IDLE_S = 8
# The kernel breaks a connection whose sent bytes stay unacknowledged for
# longer than this.
UNACKED_TIMEOUT_MS = 2000
# The system's receive buffer of a connection, in bytes; Linux reserves twice
# as much. It would grow to several megabytes while a stream is not read because
# its caller does not read.
RECEIVE_BUFFER_BYTES = 131_072
KEEPALIVE_S = 1
KEEPALIVE_PROBES = 2
KEEP_ALIVE_TIMEOUT = re.compile(r'timeout\s*=\s*(\d+)')


class IdleConnection(NamedTuple):
    """An idle connection and the monotonic time at which it expires."""

    sock: socket.socket
    expires_at: float


def detect_dead_peer(sock: socket.socket) -> None:
    """Make the kernel break the connection when the peer is unreachable."""
    tcp = std_socket.IPPROTO_TCP
    sock.setsockopt(tcp, std_socket.TCP_NODELAY, 1)
    sock.setsockopt(std_socket.SOL_SOCKET, std_socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, std_socket.TCP_KEEPIDLE, KEEPALIVE_S)
    sock.setsockopt(tcp, std_socket.TCP_KEEPINTVL, KEEPALIVE_S)
    sock.setsockopt(tcp, std_socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, std_socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)


def sending_socket(sock: socket.socket) -> socket.socket:
    """Return another socket object of the same connection, for sending.

    The time-outs of the one that is read limit how long a read waits, not how
    long sending takes. Raises ConnectFailed if there is no descriptor for it.
    """
    try:
        own = sock.dup()
    except OSError as exc:
        raise ConnectFailed(f'no descriptor to send with: {exc!r}') from exc
    own.settimeout(None)
    return own


def idle_limit_s(stated: str) -> float:
    """Return for how many seconds a connection may stay idle.

    ``stated`` is the replica's ``Keep-Alive`` header, empty without one.
    """
    found = KEEP_ALIVE_TIMEOUT.search(stated)
    if found is None:
        return DEFAULT_IDLE_S
    return min(MAX_IDLE_S, int(found.group(1)) - IDLE_MARGIN_S)


class Connections(IncarnationListener):
    """Idle connections by replica incarnation; the latest is reused first.

    A connection to a previous process of a replica never carries a request
    for its successor, even if both have the same id and address.
    """

    def __init__(
        self, clock: Clock, evidence: ProcessEvidence | None = None
    ) -> None:
        """Start with an empty pool; record unexpected ends in ``evidence``."""
        self.clock = clock
        self.evidence = evidence or ProcessEvidence(clock)
        self._connected_at: weakref.WeakKeyDictionary[socket.socket, float] = (
            weakref.WeakKeyDictionary()
        )
        self._idle: dict[str, collections.deque[IdleConnection]] = {}

    def acquire(self, incarnation: str, address: Address) -> socket.socket:
        """Return an idle or a new connection; raise ConnectFailed."""
        kept = self._idle.get(incarnation)
        while kept:
            idle = kept.pop()
            if idle.expires_at > self.clock.monotonic() and is_quiet(idle.sock):
                return idle.sock
            if idle.expires_at > self.clock.monotonic():
                self.evidence.record_end(incarnation)
            idle.sock.close()
        return self.connect(address)

    def connect(self, address: Address) -> socket.socket:
        """Return a new connection; raise ConnectFailed.

        ConnectTimedOut, a ConnectFailed, says nothing about the peer's process.
        """
        try:
            sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
            detect_dead_peer(sock)
            sock.setsockopt(
                std_socket.SOL_SOCKET,
                std_socket.SO_RCVBUF,
                RECEIVE_BUFFER_BYTES,
            )
        except TimeoutError as exc:
            raise ConnectTimedOut(f'{address}: {exc!r}') from exc
        except OSError as exc:
            raise ConnectFailed(f'{address}: {exc!r}') from exc
        self._connected_at[sock] = self.clock.monotonic()
        return sock

    def connected_at(self, sock: socket.socket) -> float:
        """Return when a connection was established, in clock seconds."""
        return self._connected_at.get(sock, self.clock.monotonic())

    def release(
        self,
        incarnation: str,
        sock: socket.socket,
        keep_s: float,
    ) -> None:
        """Keep a connection for reuse within ``keep_s`` seconds."""
        if keep_s <= 0:
            sock.close()
            return
        expires_at = self.clock.monotonic() + keep_s
        kept = self._idle.setdefault(incarnation, collections.deque())
        kept.append(IdleConnection(sock, expires_at))

    def incarnation_ended(self, incarnation: str) -> None:
        """Close the idle connections to an incarnation that has ended."""
        self.evidence.incarnation_ended(incarnation)
        for idle in self._idle.pop(incarnation, ()):
            idle.sock.close()

    def close_expired(self) -> None:
        """Close the connections whose idle time has expired."""
        now = self.clock.monotonic()
        for incarnation, kept in list(self._idle.items()):
            while kept and kept[0].expires_at <= now:
                kept.popleft().sock.close()
            if not kept:
                self._idle.pop(incarnation)
