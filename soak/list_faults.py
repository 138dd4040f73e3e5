"""Faults in which another writer corrupts the list of replicas."""

import random
import time

from soak.record import ExclusionInterval
from soak.replica import STRAY
from soak.replica_faults import ReplicaFault
from soak.world import World
from standins.machines.corrupt_entries import CORRUPTIONS
from standins.machines.store import Place

# This kind of damage is a value that is not base64. All other kinds are valid
# base64 of an entry that names no replica.
NOT_PACKED = 'not packed'
PACKED_WRONGLY = '%%%'
STAYS_SHARE = 0.5


class ListFault(ReplicaFault):
    """A corrupt list entry; all other entries stay valid."""

    # No replica and no connection fails, so no request may be interrupted.
    planned = True

    def __init__(self, world: World, rng: random.Random) -> None:
        """Draw the replica and the kind of damage."""
        super().__init__(world, rng)
        self._how = rng.choice([*sorted(CORRUPTIONS), NOT_PACKED])
        self.target = f'{self.target}, {self._how}'

    def _write(self, place: Place) -> None:
        """Write a corrupt copy of the replica's entry at ``place``."""
        if self._how == NOT_PACKED:
            self.world.store.put_encoded(place, PACKED_WRONGLY)
            return
        entry = self.world.list_entry(self.replica, self.link.address)
        self.world.store.put_bytes(place, CORRUPTIONS[self._how](entry))


class EntrySpoiled(ListFault):
    """A replica's entry is overwritten and later restored."""

    def begin(self) -> None:
        """Corrupt the entry unless another fault has already done so."""
        self._place = ('servers', '', self.replica.id)
        self._incarnation = self.replica.life
        self._started_at = time.monotonic()
        self._applies = self._place not in self.world.spoiled
        if not self._applies:
            return
        self.world.spoiled.add(self._place)
        self._before = self.world.store.encoded(self._place)
        self._write(self._place)
        self._written = self.world.store.encoded(self._place)

    def end(self) -> None:
        """Restore the entry unless it has been written again meanwhile."""
        if not self._applies:
            return
        self.world.spoiled.discard(self._place)
        exclusion = ExclusionInterval(
            self._incarnation,
            self._started_at,
            time.monotonic(),
            'unreadable names none',
        )
        self.world.record.exclusions.append(exclusion)
        if self.world.store.encoded(self._place) == self._written:
            self.world.store.put_encoded(self._place, self._before)


class StrayEntry(ListFault):
    """A corrupt entry of a replica that does not exist.

    The fraction ``STAYS_SHARE`` of these entries is never removed.
    """

    def begin(self) -> None:
        """Write the entry under a random id."""
        stray_id = f'{STRAY}{self.rng.getrandbits(32)}'
        self._place = ('servers', '', stray_id)
        self._write(self._place)

    def end(self) -> None:
        """Remove the entry, or leave it for the rest of the run."""
        if self.rng.random() >= STAYS_SHARE:
            self.world.store.remove(self._place)
