"""One upstream process as the platform's service discovery lists it."""

import enum
from typing import NamedTuple

from cactusridge.http.client import Address

# The start of a life whose replica does not tell it.
NOT_TOLD = 0
SEPARATOR = '@'


class ReplicaState(enum.StrEnum):
    """Whether a replica takes new work."""

    ready = 'ready'
    draining = 'draining'


def life_key(replica_id: str, born: int) -> str:
    """Return the key of one life of a replica; no two lives share one."""
    if born == NOT_TOLD and SEPARATOR not in replica_id:
        return replica_id
    return f'{replica_id}{SEPARATOR}{born}'


class Replica(NamedTuple):
    """A replica of a service; ``id`` outlives its process.

    ``slots`` is how many requests it works on at once; those beyond
    wait there in order of arrival. ``born`` is the Unix millisecond at
    which its process started, or NOT_TOLD.
    """

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    state: ReplicaState
    born: int = NOT_TOLD

    @property
    def life(self) -> str:
        """The key of all that is believed of this life of the replica.

        A replica that has started again under its id holds and knows
        nothing of before: requests there, verdicts and connections of
        the former process say nothing of it.
        """
        return life_key(self.id, self.born)
