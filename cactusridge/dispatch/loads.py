"""How many requests are at each replica: this entry's and its peers'."""

import contextlib
import enum
from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from cactusridge.clock import Clock

# A peer repeats its counts every half second; three repeats lost in a
# row are a peer that is gone or cut off.
PEER_SILENCE_S = 1.6
# Counts told at least this often are taken as they are: with the ten
# requests a second that one replica gets, less than one is unheard of.
FRESH_S = 0.1


class WorkKind(enum.StrEnum):
    """What takes up a slot of a replica, now or in a moment.

    For ``online`` somebody waits on screen; a ``claim`` is a batch
    request that its entry sends unless others claim the same slot.
    """

    online = 'online'
    batch = 'batch'
    claim = 'claim'


class Load(NamedTuple):
    """Requests at one replica, in flight or waiting there, and claims."""

    online: int = 0
    batch: int = 0
    claims: int = 0

    @property
    def total(self) -> int:
        """All requests at the replica."""
        return self.online + self.batch


class PeerLoads(NamedTuple):
    """A peer's counts by the life of a replica, and when they came."""

    loads: dict[str, Load]
    heard_at: float


NO_LOAD = Load()


class LoadTable:
    """Counts requests at replicas over all entries that can be heard.

    Counts are by the life of the replica: what was at a former one is
    not at its successor.
    """

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
    def running(self, life: str, kind: WorkKind) -> Iterator[None]:
        """Count one request of this entry at a replica while it lasts."""
        counts = self._own[kind]
        counts[life] += 1
        self._tell()
        if self._on_rise is not None:
            self._on_rise(life, kind)
        try:
            yield
        finally:
            self._end(counts, life)

    def own(self, life: str) -> Load:
        """Return this entry's requests at a replica."""
        return Load(
            self._own[WorkKind.online][life],
            self._own[WorkKind.batch][life],
            self._own[WorkKind.claim][life],
        )

    def all_own(self) -> dict[str, Load]:
        """Return this entry's requests by the life of the replica."""
        lives = set().union(*self._own.values())
        return {life: self.own(life) for life in lives}

    def heard(self, peer: str, loads: dict[str, Load]) -> None:
        """Take a peer's counts."""
        self._peers[peer] = PeerLoads(loads, self._clock.monotonic())

    def forget(self, peer: str) -> None:
        """Drop a peer that said it stops."""
        self._peers.pop(peer, None)

    def forget_life(self, life: str) -> None:
        """Drop what peers counted at a life that is over.

        This entry's own requests there count until they have ended.
        """
        for said in self._peers.values():
            said.loads.pop(life, None)

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

    def peers_at(self, life: str) -> dict[str, Load]:
        """Return the counts at a replica of each peer that is heard."""
        return {
            peer: self._peers[peer].loads[life]
            for peer in self.heard_lately()
            if life in self._peers[peer].loads
        }

    def at(self, life: str) -> Load:
        """Return the requests of all entries at a replica."""
        loads = [self.own(life), *self.peers_at(life).values()]
        return Load(
            sum(load.online for load in loads),
            sum(load.batch for load in loads),
            sum(load.claims for load in loads),
        )

    def _end(self, counts: Counter[str], life: str) -> None:
        counts[life] -= 1
        if not counts[life]:
            counts.pop(life)
        self._tell()

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()
