"""How many requests are at each replica: this entry's and its peers'."""

import contextlib
from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.dispatch.load import Load, WorkKind

# A peer repeats its counts every half second; three repeats lost in a
# row are a peer that is gone or cut off.
PEER_SILENCE_S = 1.6
# Counts told at least this often are taken as they are: with the ten
# requests a second that one replica gets, less than one is unheard of.
FRESH_S = 0.1


class PeerLoads(NamedTuple):
    """A peer's counts by replica id and when they were received."""

    loads: dict[str, Load]
    heard_at: float


class LoadTable:
    """Counts requests at replicas over all entries that can be heard."""

    def __init__(self, clock: Clock) -> None:
        """Start with no request anywhere."""
        self._clock = clock
        self._own: dict[WorkKind, Counter[str]] = {
            kind: Counter() for kind in WorkKind
        }
        self._peers: dict[str, PeerLoads] = {}
        # How often peers tell their counts, in seconds.
        self.period_s = float(0)
        self._listeners: list[Callable[[], None]] = []
        self._on_rise: Callable[[str, WorkKind], None] | None = None

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after every change of this entry's counts."""
        self._listeners.append(listener)

    def on_rise(self, listener: Callable[[str, WorkKind], None]) -> None:
        """Call ``listener`` with a replica that gets one more, and of what."""
        self._on_rise = listener

    @property
    def fresh(self) -> bool:
        """Whether peers tell their counts often enough to be taken as is."""
        return self.period_s <= FRESH_S

    @contextlib.contextmanager
    def running(self, replica_id: str, kind: WorkKind) -> Iterator[None]:
        """Count one request of this entry at a replica while it lasts."""
        counts = self._own[kind]
        counts[replica_id] += 1
        self._tell()
        if self._on_rise is not None:
            self._on_rise(replica_id, kind)
        try:
            yield
        finally:
            self._end(counts, replica_id)

    def own(self, replica_id: str) -> Load:
        """Return this entry's requests at a replica."""
        return Load(
            self._own[WorkKind.online][replica_id],
            self._own[WorkKind.batch][replica_id],
            self._own[WorkKind.claim][replica_id],
        )

    def all_own(self) -> dict[str, Load]:
        """Return this entry's requests by replica."""
        ids = set().union(*self._own.values())
        return {replica_id: self.own(replica_id) for replica_id in ids}

    def heard(self, peer: str, loads: dict[str, Load]) -> None:
        """Take a peer's counts."""
        self._peers[peer] = PeerLoads(loads, self._clock.monotonic())

    def forget(self, peer: str) -> None:
        """Drop a peer that said it stops."""
        self._peers.pop(peer, None)

    def heard_lately(self) -> Iterator[str]:
        """Yield the peers that have been heard lately."""
        oldest = self._clock.monotonic() - PEER_SILENCE_S
        for peer, said in self._peers.items():
            if said.heard_at >= oldest:
                yield peer

    def peers_heard(self) -> bool:
        """Tell whether any peer has been heard lately."""
        return any(self.heard_lately())

    def age_s(self) -> float:
        """Return the age of the oldest counts of peers that are heard."""
        now = self._clock.monotonic()
        ages = (now - said.heard_at for said in self._peers.values())
        return max((age for age in ages if age < PEER_SILENCE_S), default=0)

    def peers_at(self, replica_id: str) -> dict[str, Load]:
        """Return the counts at a replica of each peer that is heard."""
        return {
            peer: self._peers[peer].loads[replica_id]
            for peer in self.heard_lately()
            if replica_id in self._peers[peer].loads
        }

    def at(self, replica_id: str) -> Load:
        """Return the requests of all entries at a replica."""
        loads = [self.own(replica_id), *self.peers_at(replica_id).values()]
        return Load(
            sum(load.online for load in loads),
            sum(load.batch for load in loads),
            sum(load.claims for load in loads),
        )

    def _end(self, counts: Counter[str], replica_id: str) -> None:
        counts[replica_id] -= 1
        if not counts[replica_id]:
            counts.pop(replica_id)
        self._tell()

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()
