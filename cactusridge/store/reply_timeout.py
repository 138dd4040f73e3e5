"""An adaptive timeout for replies of the store.

It limits the delay when a write takes effect but its reply is lost. If the
store usually replies within milliseconds, the write is retried after a
quarter of a second instead of a second, so that a job is still accepted
within the time that its caller counts as on time. If the store becomes
slower, the timeout grows.
"""

# The timeout as a multiple of the slowest recent reply: it allows for a
# queue in front of the store and for a lost packet.
SLOWEST_MULTIPLE = 8
# A missing reply doubles the next timeout, so that after a few calls it is
# long enough for a store that has become slow.
GROWTH = 2
# Factor by which the slowest recent reply time decays with each reply: the
# effect of a missing reply is gone after about ten replies.
DECAY = 0.9


class ReplyTimeout:
    """Adapts the timeout to the store's reply times; all in seconds."""

    def __init__(self, min_s: float, max_s: float) -> None:
        """Start at ``min_s``, and never exceed ``max_s``."""
        self._min_s = min(min_s, max_s)
        self.max_s = max_s
        self._slowest_s = float(0)

    @property
    def seconds(self) -> float:
        """The timeout of the next call, in seconds."""
        wait_s = SLOWEST_MULTIPLE * self._slowest_s
        return min(self.max_s, max(self._min_s, wait_s))

    def record_reply(self, took_s: float) -> None:
        """Record a reply that was received after ``took_s`` seconds."""
        self._slowest_s = max(took_s, DECAY * self._slowest_s)

    def record_timeout(self) -> None:
        """Record that no reply was received within the timeout."""
        self._slowest_s = GROWTH * self.seconds / SLOWEST_MULTIPLE
