"""The clock of a stand-in store, with a start of its own."""

import time

MS_PER_S = 1000
# What the clock shows when the process starts: other than those of the hosts.
START_S = 2_592_000


class SteadyClock:
    """Counts milliseconds from a start that no host shares."""

    def __init__(self) -> None:
        """Start at START_S."""
        self.start_at(START_S)

    def start_at(self, seconds: float) -> None:
        """Let the clock show ``seconds`` now."""
        self._ahead_s = seconds - time.monotonic()

    def now_ms(self) -> int:
        """Return the milliseconds that the clock shows."""
        return int((time.monotonic() + self._ahead_s) * MS_PER_S)
