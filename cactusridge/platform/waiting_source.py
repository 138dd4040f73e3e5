"""Requests that wait at an entry, as ``/load`` shows them."""

import abc
from collections.abc import Iterable
from typing import NamedTuple


class WaitingCount(NamedTuple):
    """The waiting requests of an organisation with the same priority.

    ``oldest_s`` is the time in seconds that the oldest has waited.
    """

    service: str
    organisation: str
    priority: int
    count: int
    oldest_s: float


class WaitingSource(abc.ABC):
    """Provides the numbers of waiting requests."""

    @abc.abstractmethod
    def summary(self) -> Iterable[WaitingCount]:
        """Return the numbers by service, organisation and priority."""


class NobodyWaits(WaitingSource):
    """The source of an entry that sends or refuses requests at once."""

    def summary(self) -> Iterable[WaitingCount]:
        """Return no waiting requests."""
        return ()
