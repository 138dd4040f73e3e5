"""Counts of waiting requests for operators."""

from typing import NamedTuple


class WaitingSummary(NamedTuple):
    """The waiting requests of one organisation for one service.

    ``priority`` is the one by which they are ordered. ``oldest_s`` is the
    time in seconds that the oldest of them has waited.
    """

    service: str
    organisation: str
    priority: int
    count: int
    oldest_s: float
