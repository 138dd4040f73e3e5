"""Entries tell each other how many requests they have at each replica.

Datagrams, since an old count is worth nothing: one that is lost is
repeated by the next. A change goes out at once, alone; all counts go out
every half second, which also says that the entry lives.
"""

from collections.abc import Callable, Iterable

import gevent
import orjson
from gevent import socket
from gevent.event import Event

from cactusridge import events, logs
from cactusridge.background import keep_doing, keep_doing_every
from cactusridge.dispatch.loads import NO_LOAD, Load, LoadTable

# All counts are repeated this often, in seconds.
REPEAT_S = 0.5
# Changes within this time go out together: well under the time of a
# replica's step with a full batch (3 to 4 ms).
GATHER_S = 0.003
MAX_DATAGRAM = 65_507
ALL = 'all'
CHANGED = 'some'
Target = tuple[str, int]


class PeerExchange:
    """Sends this entry's counts to its peers and takes theirs."""

    def __init__(
        self,
        address: Target,
        loads: LoadTable,
        peers: Callable[[], Iterable[Target]],
        on_heard: Callable[[], None],
    ) -> None:
        """Speak at ``address`` to what ``peers`` returns."""
        self._address = address
        self._loads = loads
        self._peers = peers
        self._on_heard = on_heard
        self._dirty = Event()
        self._told: dict[str, Load] = {}
        self._counts: dict[Target, dict[str, Load]] = {}
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        loads.on_change(self._dirty.set)

    def start(self) -> None:
        """Bind and begin to speak and to listen."""
        self._sock.bind(self._address)
        gevent.spawn(keep_doing, self._listen)
        gevent.spawn(keep_doing, self._tell_changes)
        gevent.spawn(keep_doing_every, REPEAT_S, self._repeat)

    def _tell_changes(self) -> None:
        self._dirty.wait()
        gevent.sleep(GATHER_S)
        self._dirty.clear()
        now = self._loads.all_own()
        changed = {
            key: now.get(key, NO_LOAD)
            for key in set(now) | set(self._told)
            if now.get(key) != self._told.get(key)
        }
        self._told = now
        if changed:
            self._send(CHANGED, changed)

    def _repeat(self) -> None:
        self._send(ALL, self._loads.all_own())

    def _send(self, kind: str, loads: dict[str, Load]) -> None:
        raw = orjson.dumps(
            {kind: {key: list(load) for key, load in loads.items()}},
        )
        for target in self._peers():
            if target != self._address:
                self._send_to(target, raw)

    def _send_to(self, target: Target, raw: bytes) -> None:
        try:
            self._sock.sendto(raw, target)
        except OSError as exc:
            logs.emit(
                events.PEER_UNREACHABLE,
                peer=f'{target[0]}:{target[1]}',
                error=repr(exc),
            )

    def _listen(self) -> None:
        try:
            raw, sender = self._sock.recvfrom(MAX_DATAGRAM)
            self._take(raw, sender)
        except OSError as exc:
            logs.emit(events.PEER_UNREADABLE, error=repr(exc))
        except (ValueError, TypeError, AttributeError) as unreadable:
            logs.emit(events.PEER_UNREADABLE, error=repr(unreadable))

    def _take(self, raw: bytes, sender: Target) -> None:
        said = orjson.loads(raw)
        known = {} if ALL in said else self._counts.get(sender, {})
        changed = said.get(ALL) or said.get(CHANGED) or {}
        counts = {**known, **_counts(changed)}
        self._counts[sender] = counts
        self._loads.heard(f'{sender[0]}:{sender[1]}', counts)
        self._on_heard()


def _counts(raw: dict[str, list[int]]) -> dict[str, Load]:
    return {key: Load(*pair) for key, pair in raw.items()}
