"""One upstream process as the platform's service discovery lists it."""

import enum
from typing import NamedTuple

from cactusridge.http.client import Address


class ReplicaState(enum.StrEnum):
    """Whether a replica takes new work."""

    ready = 'ready'
    draining = 'draining'


class Replica(NamedTuple):
    """A replica of a service; ``id`` names one life of its process.

    ``slots`` is how many requests it works on at once; those beyond
    wait there in order of arrival.
    """

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    state: ReplicaState
