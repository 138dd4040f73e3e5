"""What was decided about the run of a silent replica."""

from typing import NamedTuple


class SilenceDecision(NamedTuple):
    """Whether a silent run is kept, and for what reason.

    ``other`` is the id of the replica for which it was left, None if it was
    kept. ``after_event`` is the id of the last event received, and ``silent_s``
    the seconds for which the run brought nothing.
    """

    other: str | None
    reason: str
    error: str
    after_event: str | None
    silent_s: float
