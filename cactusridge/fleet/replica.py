"""An upstream process as listed by the platform's service discovery."""

import enum
from typing import NamedTuple

from cactusridge.fleet.stream_origin import StreamOrigin
from cactusridge.http.client import Address

# Start time of a replica whose entry has none.
UNKNOWN_START = 0
SEPARATOR = '@'


class ReplicaState(enum.StrEnum):
    """Whether a replica accepts new work."""

    ready = 'ready'
    draining = 'draining'


def incarnation_key(replica_id: str, started_at_ms: int) -> str:
    """Return the key of one incarnation of a replica, unique to it.

    An id without a start time is its own key, unless it contains the separator
    and could be confused with the key of another replica.
    """
    if started_at_ms == UNKNOWN_START and SEPARATOR not in replica_id:
        return replica_id
    return f'{replica_id}{SEPARATOR}{started_at_ms}'


class Replica(NamedTuple):
    """A replica of a service; ``id`` stays the same across restarts.

    ``slots`` is how many requests the replica processes at once. It queues
    further requests in order of arrival. ``started_at_ms`` is the Unix time in
    milliseconds at which its process started, or UNKNOWN_START. ``version`` is
    that of its software, empty if its entry has none. Versions have no order.
    """

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    state: ReplicaState
    started_at_ms: int = UNKNOWN_START
    version: str = ''

    @property
    def incarnation(self) -> str:
        """The incarnation key, under which all state about the replica is kept.

        A process that restarts under the same id has none of its predecessor's
        state. In-flight requests, health records and connections of the
        earlier process therefore do not apply to it.
        """
        return incarnation_key(self.id, self.started_at_ms)

    @property
    def origin(self) -> StreamOrigin:
        """The origin of the streams that begin at this replica."""
        return StreamOrigin(self.service, self.version)
