"""Another writer spoils the list of replicas."""

import random
import time

from soak.record import Withheld
from soak.replica import STRAY
from soak.replica_faults import ReplicaFault
from soak.world import World
from standins.machines.spoiled import SPOILED
from standins.machines.store import Place

# No base64 at all; all others are, of bytes that name no replica.
NOT_PACKED = 'not packed'
PACKED_WRONGLY = '%%%'
STAYS_SHARE = 0.5


class ListFault(ReplicaFault):
    """An entry that names no replica; all others hold."""

    # Not a replica fails, nor a way to one: this may cut no request.
    planned = True

    def __init__(self, world: World, rng: random.Random) -> None:
        """Draw what is wrong with the entry."""
        super().__init__(world, rng)
        self._how = rng.choice([*sorted(SPOILED), NOT_PACKED])
        self.target = f'{self.target}, {self._how}'

    def _write(self, place: Place) -> None:
        """Put a replica's entry at a place, spoiled."""
        if self._how == NOT_PACKED:
            self.world.store.put_packed(place, PACKED_WRONGLY)
            return
        entry = self.world.listed(self.replica, self.link.address)
        self.world.store.put_bytes(place, SPOILED[self._how](entry))


class EntrySpoiled(ListFault):
    """A replica's entry is overwritten, and later as it was before."""

    def begin(self) -> None:
        """Spoil it, unless it is spoiled already."""
        self._place = ('servers', '', self.replica.id)
        self._life = self.replica.life
        self._began_at = time.monotonic()
        self._strikes = self._place not in self.world.spoiled
        if not self._strikes:
            return
        self.world.spoiled.add(self._place)
        self._before = self.world.store.packed(self._place)
        self._write(self._place)
        self._written = self.world.store.packed(self._place)

    def end(self) -> None:
        """Put back what was there if nobody else has written it since."""
        if not self._strikes:
            return
        self.world.spoiled.discard(self._place)
        withheld = Withheld(
            self._life,
            self._began_at,
            time.monotonic(),
            'unreadable names none',
        )
        self.world.record.withheld.append(withheld)
        if self.world.store.packed(self._place) == self._written:
            self.world.store.put_packed(self._place, self._before)


class StrayEntry(ListFault):
    """An entry that no replica has written; half of them stay."""

    def begin(self) -> None:
        """Write it."""
        stray_id = f'{STRAY}{self.rng.getrandbits(32)}'
        self._place = ('servers', '', stray_id)
        self._write(self._place)

    def end(self) -> None:
        """Remove it, or leave it for the rest of the run."""
        if self.rng.random() >= STAYS_SHARE:
            self.world.store.remove(self._place)
