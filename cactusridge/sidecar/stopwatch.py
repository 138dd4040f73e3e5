"""How long an answer takes, token by token."""

import time


class Stopwatch:
    """Measures first-token and between-token times of one answer."""

    def __init__(self) -> None:
        """Start at the sending of the request."""
        self.sent = time.monotonic()
        self.last = self.sent
        self.first_s: float | None = None

    def token(self) -> float:
        """Note a token; return the seconds since the one before."""
        now = time.monotonic()
        gap_s = now - self.last
        self.last = now
        if self.first_s is None:
            self.first_s = gap_s
        return gap_s
