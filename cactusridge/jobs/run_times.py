"""Estimates the run time of items from the runs of this entry."""

# Weight of the newest run in the moving averages.
WEIGHT = 0.1


class RunTimeEstimator:
    """Moving averages of the seconds per event and the events per item."""

    def __init__(self) -> None:
        """Start without data; ``remaining_s`` is 0 until an item completes."""
        self._event_s = float(0)
        self._events = float(0)

    def record_run(self, events: int, run_s: float) -> None:
        """Record a run of ``run_s`` seconds that produced ``events``."""
        if events > 0:
            self._event_s = _moving_average(self._event_s, run_s / events)

    def record_completion(self, events: int) -> None:
        """Record that an item completed with ``events`` events in total."""
        self._events = _moving_average(self._events, events)

    def remaining_s(self, events: int) -> float:
        """Return the expected remaining run time of an item, in seconds.

        ``events`` is the number of events that the item has produced.
        """
        return max(0, self._events - events) * self._event_s


def _moving_average(mean: float, newest: float) -> float:
    """Return the moving average updated with the value ``newest``.

    The first value becomes the average.
    """
    if not mean:
        return newest
    return mean + WEIGHT * (newest - mean)
