"""Requests that peers have at replicas, kept as a sum for each replica.

Every request and every look of the batch scheduler asks for the requests
at all replicas. To add up what each peer said would grow with peers times
replicas.
"""

from collections.abc import Iterator
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.peers.load import NO_LOAD, Load

# A peer repeats its counts every half second; three repeats lost in a
# row are a peer that is gone or cut off.
PEER_SILENCE_S = 1.6


class PeerLoads(NamedTuple):
    """A peer's counts by the life of a replica and when they were received."""

    loads: dict[str, Load]
    heard_at: float


class PeerCounts:
    """What the peers that are heard said last, by peer and by replica."""

    def __init__(self, clock: Clock) -> None:
        """Start without a peer."""
        self._clock = clock
        # In the order in which they were heard, the longest silent first.
        self._peers: dict[str, PeerLoads] = {}
        self._by_life: dict[str, dict[str, Load]] = {}
        self._sums: dict[str, Load] = {}

    def heard(self, peer: str, loads: dict[str, Load]) -> None:
        """Take a peer's counts in place of its last ones."""
        self._drop_silent()
        known = self._peers.pop(peer, None)
        before = known.loads if known else {}
        self._peers[peer] = PeerLoads(loads, self._clock.monotonic())
        for life in before.keys() | loads.keys():
            load = loads.get(life, NO_LOAD)
            if load != before.get(life, NO_LOAD):
                self._put(life, peer, load)

    def forget(self, peer: str) -> None:
        """Drop a peer with its counts."""
        known = self._peers.pop(peer, None)
        for life in known.loads if known else ():
            self._put(life, peer, NO_LOAD)

    def forget_life(self, life: str) -> None:
        """Drop what peers counted at a life of a replica that is over."""
        for peer in tuple(self._by_life.get(life, ())):
            self._peers[peer].loads.pop(life, None)
            self._put(life, peer, NO_LOAD)

    def heard_lately(self) -> Iterator[str]:
        """Return the peers that have been heard lately."""
        self._drop_silent()
        return iter(tuple(self._peers))

    def age_s(self) -> float:
        """Return the age of the oldest counts of peers that are heard."""
        self._drop_silent()
        if not self._peers:
            return 0
        oldest = next(iter(self._peers.values()))
        return self._clock.monotonic() - oldest.heard_at

    def by_peer(self, life: str) -> dict[str, Load]:
        """Return each peer's counts at a replica, without those of none."""
        self._drop_silent()
        return dict(self._by_life.get(life, {}))

    def sum_at(self, life: str) -> Load:
        """Return the requests of all peers at a replica."""
        self._drop_silent()
        return self._sums.get(life, NO_LOAD)

    def _drop_silent(self) -> None:
        if not self._peers:
            return
        oldest_at = self._clock.monotonic() - PEER_SILENCE_S
        while self._peers:
            peer = next(iter(self._peers))
            if self._peers[peer].heard_at >= oldest_at:
                return
            self.forget(peer)

    def _put(self, life: str, peer: str, load: Load) -> None:
        there = self._by_life.setdefault(life, {})
        before = there.pop(peer, NO_LOAD)
        if load != NO_LOAD:
            there[peer] = load
        total = self._sums.get(life, NO_LOAD).plus(load).minus(before)
        self._sums[life] = total
        if not there:
            # Replicas come and go for as long as the process runs.
            self._by_life.pop(life)
            self._sums.pop(life)
