"""What takes up slots of a replica."""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple


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

    def plus(self, other: 'Load') -> 'Load':
        """Return both together."""
        return Load(
            self.online + other.online,
            self.batch + other.batch,
            self.claims + other.claims,
        )

    def minus(self, other: 'Load') -> 'Load':
        """Return what is left without ``other``."""
        return Load(
            self.online - other.online,
            self.batch - other.batch,
            self.claims - other.claims,
        )


NO_LOAD = Load()
ONE: Mapping[WorkKind, Load] = MappingProxyType(
    {
        WorkKind.online: Load(online=1),
        WorkKind.batch: Load(batch=1),
        WorkKind.claim: Load(claims=1),
    },
)
