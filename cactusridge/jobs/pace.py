"""How long items take, learnt from those that this entry has run."""

# Weight of the newest run in the means.
WEIGHT = 0.1


class Pace:
    """Mean seconds an event and events an item; nothing known at first."""

    def __init__(self) -> None:
        """Take items to be done at once until one has run."""
        self._event_s = float(0)
        self._events = float(0)

    def ran(self, events: int, took_s: float) -> None:
        """Note a run of ``took_s`` seconds that brought ``events``."""
        if events > 0:
            self._event_s = _mean(self._event_s, took_s / events)

    def completed(self, events: int) -> None:
        """Note that an item was done after ``events`` in all."""
        self._events = _mean(self._events, events)

    def left_s(self, events: int) -> float:
        """Return the seconds that an item with ``events`` still takes."""
        return max(0, self._events - events) * self._event_s


def _mean(mean: float, newest: float) -> float:
    """Return the mean with one more value; the first is taken whole."""
    if not mean:
        return newest
    return mean + WEIGHT * (newest - mean)
