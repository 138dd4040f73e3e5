"""Loads of peers at replicas, kept as a running sum for each replica.

Every request and every poll of the batch scheduler needs the loads at all
replicas. Summing them up each time would take time proportional to the number
of peers times the number of replicas.
"""

from collections.abc import Iterator
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.peers.load import NO_LOAD, Load

# Seconds without counts after which a peer is taken for stopped or
# partitioned. Peers repeat their counts every half second, so that three
# repeats in a row were lost.
PEER_TIMEOUT_S = 1.6


class PeerLoads(NamedTuple):
    """A peer's loads by incarnation key and when they were received."""

    loads: dict[str, Load]
    received_at: float


class PeerCounts:
    """The current counts of peers, by peer and by replica."""

    def __init__(self, clock: Clock) -> None:
        """Create a table without peers."""
        self._clock = clock
        # Ordered by the time of the last counts, the oldest first.
        self._peers: dict[str, PeerLoads] = {}
        self._by_incarnation: dict[str, dict[str, Load]] = {}
        self._sums: dict[str, Load] = {}

    def update(self, peer: str, loads: dict[str, Load]) -> None:
        """Replace the counts of a peer by those just received."""
        self._drop_expired()
        known = self._peers.pop(peer, None)
        before = known.loads if known else {}
        self._peers[peer] = PeerLoads(loads, self._clock.monotonic())
        for incarnation in before.keys() | loads.keys():
            load = loads.get(incarnation, NO_LOAD)
            if load != before.get(incarnation, NO_LOAD):
                self._set_load(incarnation, peer, load)

    def forget(self, peer: str) -> None:
        """Remove a peer and its counts."""
        known = self._peers.pop(peer, None)
        for incarnation in known.loads if known else ():
            self._set_load(incarnation, peer, NO_LOAD)

    def forget_incarnation(self, incarnation: str) -> None:
        """Remove what peers counted at an incarnation that has ended."""
        for peer in tuple(self._by_incarnation.get(incarnation, ())):
            self._peers[peer].loads.pop(incarnation, None)
            self._set_load(incarnation, peer, NO_LOAD)

    def current_peers(self) -> Iterator[str]:
        """Return the names of the peers whose counts are current."""
        self._drop_expired()
        return iter(tuple(self._peers))

    def age_s(self) -> float:
        """Return the age of the oldest current counts of a peer, in seconds."""
        self._drop_expired()
        if not self._peers:
            return 0
        oldest = next(iter(self._peers.values()))
        return self._clock.monotonic() - oldest.received_at

    def by_peer(self, incarnation: str) -> dict[str, Load]:
        """Return the load at a replica of each peer that has any there."""
        self._drop_expired()
        return dict(self._by_incarnation.get(incarnation, {}))

    def sum_at(self, incarnation: str) -> Load:
        """Return the load of all peers at a replica."""
        self._drop_expired()
        return self._sums.get(incarnation, NO_LOAD)

    def _drop_expired(self) -> None:
        if not self._peers:
            return
        oldest_at = self._clock.monotonic() - PEER_TIMEOUT_S
        while self._peers:
            peer = next(iter(self._peers))
            if self._peers[peer].received_at >= oldest_at:
                return
            self.forget(peer)

    def _set_load(self, incarnation: str, peer: str, load: Load) -> None:
        here = self._by_incarnation.setdefault(incarnation, {})
        before = here.pop(peer, NO_LOAD)
        if load != NO_LOAD:
            here[peer] = load
        total = self._sums.get(incarnation, NO_LOAD).plus(load).minus(before)
        self._sums[incarnation] = total
        if not here:
            # An empty sum is removed, since new replicas keep appearing for as
            # long as the process runs.
            self._by_incarnation.pop(incarnation)
            self._sums.pop(incarnation)
