"""Estimates of what each replica delivers, as ``/load`` shows them."""

import abc
from collections.abc import Iterable
from typing import NamedTuple


class CapacityEstimate(NamedTuple):
    """What one incarnation of a replica delivers.

    ``slot_s`` is the time in seconds that a request holds a slot and ``speed``
    the speed relative to the service, 1 for a usual replica. They come from
    ``samples`` observations, the newest ``age_s`` seconds old.
    """

    incarnation: str
    slot_s: float
    speed: float
    samples: float
    age_s: float


class CapacitySource(abc.ABC):
    """Provides the estimates of the replicas of a service."""

    @abc.abstractmethod
    def of_service(self, service: str) -> Iterable[CapacityEstimate]:
        """Return an estimate for each replica that has one."""


class NoCapacity(CapacitySource):
    """The source of an entry that estimates nothing for each replica."""

    def of_service(self, service: str) -> Iterable[CapacityEstimate]:
        """Return no estimate."""
        return ()
