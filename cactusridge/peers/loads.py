"""Counts of requests at each replica, by this entry and its peers."""

import contextlib
from collections.abc import Callable, Iterator

from cactusridge.clock import Clock
from cactusridge.peers.load import NO_LOAD, ONE, Load, WorkKind
from cactusridge.peers.offers import CellOffer, Offers
from cactusridge.peers.peer_counts import PeerCounts


class LoadTable:
    """Counts the requests at replicas over all reachable entries.

    Counts are kept by incarnation key: the requests at a replica end with its
    process and are not inherited by the next incarnation.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a table without requests."""
        # Replicas without a request of this entry are not in it.
        self._own: dict[str, Load] = {}
        # Counts of the peers that send them to this entry directly.
        self._peers = PeerCounts(clock)
        self._offers = Offers(clock)
        self._listeners: list[Callable[[], None]] = []
        self._on_increase: Callable[[str, WorkKind], None] | None = None

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after every change of this entry's counts."""
        self._listeners.append(listener)

    def on_increase(self, listener: Callable[[str, WorkKind], None]) -> None:
        """Call ``listener`` after each increase of this entry's counts.

        Its arguments are the incarnation key and the kind of the added work.
        """
        self._on_increase = listener

    @contextlib.contextmanager
    def count_request(self, incarnation: str, kind: WorkKind) -> Iterator[None]:
        """Count one request of this entry while it is at a replica."""
        self._own[incarnation] = self.own(incarnation).plus(ONE[kind])
        self._notify()
        if self._on_increase is not None:
            self._on_increase(incarnation, kind)
        try:
            yield
        finally:
            self._end_request(incarnation, kind)

    def own(self, incarnation: str) -> Load:
        """Return this entry's load at a replica."""
        return self._own.get(incarnation, NO_LOAD)

    def all_own(self) -> dict[str, Load]:
        """Return this entry's load by incarnation key."""
        return dict(self._own)

    def set_peer_loads(self, peer: str, loads: dict[str, Load]) -> None:
        """Replace the counts of a peer by those just received."""
        self._peers.update(peer, loads)

    def set_offer(self, offer: CellOffer) -> None:
        """Store the offer just received from another cell."""
        self._offers.put(offer)

    def replicas_with_counts(self) -> set[str]:
        """Return the remote replicas whose counts this entry receives."""
        return self._offers.shared()

    def offered_replicas(self) -> set[str]:
        """Return the remote replicas that offer this entry one more slot."""
        return {
            incarnation
            for incarnation, slots in self._offers.slots().items()
            if self.own(incarnation).online < slots
        }

    def forget(self, peer: str) -> None:
        """Remove a peer and its counts."""
        self._peers.forget(peer)

    def forget_incarnation(self, incarnation: str) -> None:
        """Remove what peers counted at an incarnation that has ended.

        This entry's own requests there are counted until they end.
        """
        self._peers.forget_incarnation(incarnation)

    def current_peers(self) -> Iterator[str]:
        """Return the names of the peers whose counts are current."""
        return self._peers.current_peers()

    def has_current_peers(self) -> bool:
        """Return whether the counts of any peer are current."""
        return any(self.current_peers())

    def age_s(self) -> float:
        """Return the age of the oldest current counts of a peer, in seconds."""
        return self._peers.age_s()

    def peers_at(self, incarnation: str) -> dict[str, Load]:
        """Return the load at a replica of each peer that has any there."""
        return self._peers.by_peer(incarnation)

    def total_at(self, incarnation: str) -> Load:
        """Return the load of all entries at a replica."""
        return self._peers.sum_at(incarnation).plus(self.own(incarnation))

    def _end_request(self, incarnation: str, kind: WorkKind) -> None:
        left = self.own(incarnation).minus(ONE[kind])
        if left == NO_LOAD:
            self._own.pop(incarnation)
        else:
            self._own[incarnation] = left
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
