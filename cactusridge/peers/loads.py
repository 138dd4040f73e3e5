"""How many requests are at each replica: this entry's and its peers'."""

import contextlib
from collections.abc import Callable, Iterator

from cactusridge.clock import Clock
from cactusridge.peers.load import NO_LOAD, ONE, Load, WorkKind
from cactusridge.peers.offers import CellOffer, Offers
from cactusridge.peers.peer_counts import PeerCounts


class LoadTable:
    """Counts requests at replicas over all entries that can be heard.

    Counts are by the life of the replica: what was at a former one is
    not at its successor.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with no request anywhere."""
        # Without the replicas at which there is nothing.
        self._own: dict[str, Load] = {}
        # Of the entries that tell this one of each request themselves.
        self._peers = PeerCounts(clock)
        self._offers = Offers(clock)
        self._listeners: list[Callable[[], None]] = []
        self._on_rise: Callable[[str, WorkKind], None] | None = None

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after every change of this entry's counts."""
        self._listeners.append(listener)

    def on_rise(self, listener: Callable[[str, WorkKind], None]) -> None:
        """Call ``listener`` with a replica that gets one more, and of what."""
        self._on_rise = listener

    @contextlib.contextmanager
    def running(self, life: str, kind: WorkKind) -> Iterator[None]:
        """Count one request of this entry at a replica while it lasts."""
        self._own[life] = self.own(life).plus(ONE[kind])
        self._tell()
        if self._on_rise is not None:
            self._on_rise(life, kind)
        try:
            yield
        finally:
            self._end(life, kind)

    def own(self, life: str) -> Load:
        """Return this entry's requests at a replica."""
        return self._own.get(life, NO_LOAD)

    def all_own(self) -> dict[str, Load]:
        """Return this entry's requests by the life of the replica."""
        return dict(self._own)

    def heard(self, peer: str, loads: dict[str, Load]) -> None:
        """Take a peer's counts."""
        self._peers.heard(peer, loads)

    def heard_offer(self, offer: CellOffer) -> None:
        """Take what another cell offers this entry."""
        self._offers.heard(offer)

    def shared(self) -> set[str]:
        """Return the replicas of other cells of which this entry is told."""
        return self._offers.shared()

    def offered(self) -> set[str]:
        """Return the replicas of other cells that offer one more slot."""
        return {
            life
            for life, slots in self._offers.slots().items()
            if self.own(life).online < slots
        }

    def forget(self, peer: str) -> None:
        """Drop a peer that said it stops."""
        self._peers.forget(peer)

    def forget_life(self, life: str) -> None:
        """Drop what peers counted at a life that is over.

        This entry's own requests there count until they have ended.
        """
        self._peers.forget_life(life)

    def heard_lately(self) -> Iterator[str]:
        """Return the peers that have been heard lately."""
        return self._peers.heard_lately()

    def peers_heard(self) -> bool:
        """Tell whether any peer has been heard lately."""
        return any(self.heard_lately())

    def age_s(self) -> float:
        """Return the age of the oldest counts of peers that are heard."""
        return self._peers.age_s()

    def peers_at(self, life: str) -> dict[str, Load]:
        """Return the counts at a replica of each peer with any there."""
        return self._peers.by_peer(life)

    def at(self, life: str) -> Load:
        """Return the requests of all entries at a replica."""
        return self._peers.sum_at(life).plus(self.own(life))

    def _end(self, life: str, kind: WorkKind) -> None:
        left = self.own(life).minus(ONE[kind])
        if left == NO_LOAD:
            self._own.pop(life)
        else:
            self._own[life] = left
        self._tell()

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()
