"""Measures the token latencies of one streamed response."""

import time


class Stopwatch:
    """Times the first token and the gaps between tokens, in seconds."""

    def __init__(self) -> None:
        """Start the clock; create it when the request is sent."""
        self.sent_at = time.monotonic()
        self.last_at = self.sent_at
        self.first_s: float | None = None

    def record_token(self) -> float:
        """Record a token; return the seconds since the previous one.

        For the first token, these are the seconds since the request.
        """
        now = time.monotonic()
        gap_s = now - self.last_at
        self.last_at = now
        if self.first_s is None:
            self.first_s = gap_s
        return gap_s
