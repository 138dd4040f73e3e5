"""What ``/load`` shows beside the counts, by its source."""

from typing import NamedTuple

from cactusridge.platform.capacity_source import CapacitySource, NoCapacity
from cactusridge.platform.waiting_source import NobodyWaits, WaitingSource


class LoadSources(NamedTuple):
    """The sources of the estimates and of the waiting requests."""

    capacity: CapacitySource = NoCapacity()
    waiting: WaitingSource = NobodyWaits()
