"""The work that occupies the slots of a replica."""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple


class WorkKind(enum.StrEnum):
    """The kind of work that occupies a slot of a replica, now or soon.

    A user waits for the response to an ``online`` request. A ``claim``
    announces a batch request that its entry sends unless other entries claim
    the same slot.
    """

    online = 'online'
    batch = 'batch'
    claim = 'claim'


class Load(NamedTuple):
    """Numbers of requests at one replica, running or queued, and claims."""

    online: int = 0
    batch: int = 0
    claims: int = 0

    @property
    def total(self) -> int:
        """The number of requests at the replica, without claims."""
        return self.online + self.batch

    def plus(self, other: 'Load') -> 'Load':
        """Return the sum of both loads."""
        return Load(
            self.online + other.online,
            self.batch + other.batch,
            self.claims + other.claims,
        )

    def minus(self, other: 'Load') -> 'Load':
        """Return the difference of both loads."""
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
