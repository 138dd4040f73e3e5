"""A mean of observed times that starts from the first observation."""

# Least weight of the newest observation. The mean follows a change of the
# times within some twenty observations.
LEAST_WEIGHT = 0.05
# An observation counts as at most this many times the mean, and as no less
# than the inverse. A tail of five times the mean then moves it little.
OUTLIER_FACTOR = 4.0
# Shortest time that is observed, in seconds, so that the mean is positive.
SHORTEST_S = 1e-6


class UsualTime:
    """The moving mean of a time in seconds.

    The first observations have equal weights, so that no assumed initial value
    persists.
    """

    def __init__(self) -> None:
        """Start without observations and with a mean of 0."""
        self.mean_s = float(0)
        self.count = 0

    def add(self, observed_s: float) -> None:
        """Add an observation in seconds."""
        observed_s = max(SHORTEST_S, observed_s)
        if self.count:
            observed_s = max(observed_s, self.mean_s / OUTLIER_FACTOR)
            observed_s = min(observed_s, self.mean_s * OUTLIER_FACTOR)
        self.count += 1
        weight = max(1 / self.count, LEAST_WEIGHT)
        self.mean_s += weight * (observed_s - self.mean_s)
