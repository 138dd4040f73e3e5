"""A lease holder's own deadline for the lease of its span."""

from cactusridge.clock import Clock
from cactusridge.startup.models import BatchSettings


class Lease:
    """Deadline of a lease on this host's clock only.

    Other entries take over a span when its row has not changed for
    ``lease_s`` seconds on their own clocks. The holder's deadline counts
    from before the write was sent and is earlier by ``lease_margin_s``, so
    it always passes before another entry takes over.
    """

    def __init__(
        self, cfg: BatchSettings, clock: Clock, sent_at: float
    ) -> None:
        """Start the lease at ``sent_at``, in monotonic seconds."""
        self._duration_s = cfg.lease_s - cfg.lease_margin_s
        self._clock = clock
        self._valid_from = sent_at

    def renew(self, sent_at: float) -> None:
        """Renew the lease from ``sent_at``, taken before the write was sent.

        Times are in monotonic seconds; an earlier one changes nothing.
        """
        self._valid_from = max(self._valid_from, sent_at)

    def valid(self) -> bool:
        """Return whether work may still be dispatched under this lease."""
        return self._clock.monotonic() < self._valid_from + self._duration_s

    def renewal_due(self) -> bool:
        """Return whether a third of the lease has passed."""
        return self._clock.monotonic() > self._valid_from + self._duration_s / 3
