"""How long to wait for the store's next answer.

Answers writes that take effect and lose their answers: a store that
answers in milliseconds is asked again in a quarter of a second instead of
a second, so that a job is still accepted within the wait that its caller
counts as on time. A store that has become slow is given more time.
"""

# The wait is this many times the slowest answer of late: enough for a
# queue before the store, and for a lost packet on the way.
FACTOR = 8
# A silence doubles the next wait, so that a slow store is soon met.
GROWTH = 2
# Weight of the slowest answer so far against a new one: a silence is
# forgotten within some ten answers.
DECAY = 0.9


class ReplyTimeout:
    """Follows how fast the store answers; all times in seconds."""

    def __init__(self, least_s: float, most_s: float) -> None:
        """Wait ``least_s`` at first and never over ``most_s``."""
        self._least_s = min(least_s, most_s)
        self.most_s = most_s
        self._slowest_s = float(0)

    @property
    def seconds(self) -> float:
        """How long to wait for the next answer."""
        wait_s = FACTOR * self._slowest_s
        return min(self.most_s, max(self._least_s, wait_s))

    def answered(self, took_s: float) -> None:
        """Note an answer and how long it took."""
        self._slowest_s = max(took_s, DECAY * self._slowest_s)

    def silent(self) -> None:
        """Note that no answer came in time."""
        self._slowest_s = GROWTH * self.seconds / FACTOR
