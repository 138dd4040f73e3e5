"""Rate limits in messages between entries."""

from typing import Any

from cactusridge.organisations.organisation import RateLimit


def decode_limit(raw: Any) -> RateLimit:
    """Return the limit in a message; raises ValueError or TypeError."""
    rate_per_s, burst = map(float, raw)
    return RateLimit(rate_per_s, burst)
