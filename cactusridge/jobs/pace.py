"""Estimates the run time of items from the runs of this entry."""

# Weight of the newest run in the moving averages.
WEIGHT = 0.1


class Pace:
    """Moving averages of the seconds per event and the events per item."""

    def __init__(self) -> None:
        """Start without data; ``left_s`` is 0 until an item has completed."""
        self._event_s = float(0)
        self._events = float(0)

    def ran(self, events: int, took_s: float) -> None:
        """Record a run of ``took_s`` seconds that produced ``events``."""
        if events > 0:
            self._event_s = _mean(self._event_s, took_s / events)

    def completed(self, events: int) -> None:
        """Record that an item completed with ``events`` events in total."""
        self._events = _mean(self._events, events)

    def left_s(self, events: int) -> float:
        """Return the expected remaining run time of an item, in seconds.

        ``events`` is the number of events that the item has produced.
        """
        return max(0, self._events - events) * self._event_s


def _mean(mean: float, newest: float) -> float:
    """Return the moving average updated with the value ``newest``.

    The first value becomes the average.
    """
    if not mean:
        return newest
    return mean + WEIGHT * (newest - mean)
