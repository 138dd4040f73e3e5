"""An upstream process as listed by the platform's service discovery."""

import enum
from typing import NamedTuple

from cactusridge.http.client import Address

# Start time of a replica whose entry has none.
NOT_TOLD = 0
SEPARATOR = '@'


class ReplicaState(enum.StrEnum):
    """Whether a replica accepts new work."""

    ready = 'ready'
    draining = 'draining'


def incarnation_key(replica_id: str, born: int) -> str:
    """Return the key of one incarnation of a replica, unique to it.

    An id without a start time is its own key, unless it contains the separator
    and could be confused with the key of another replica.
    """
    if born == NOT_TOLD and SEPARATOR not in replica_id:
        return replica_id
    return f'{replica_id}{SEPARATOR}{born}'


class Replica(NamedTuple):
    """A replica of a service; ``id`` stays the same across restarts.

    ``slots`` is how many requests the replica processes at once. It queues
    further requests in order of arrival. ``born`` is the Unix time in
    milliseconds at which its process started, or NOT_TOLD.
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
        """The incarnation key, under which all state about the replica is kept.

        A process that restarts under the same id has none of its predecessor's
        state. In-flight requests, health records and connections of the
        earlier process therefore do not apply to it.
        """
        return incarnation_key(self.id, self.born)
