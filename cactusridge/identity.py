"""Unique ids that sort by the time of their creation."""

import secrets

from cactusridge.clock import Clock

RANDOM_BYTES = 8
MILLISECONDS = 1000


def new_id(prefix: str, clock: Clock) -> str:
    """Return ``prefix`` with a unique suffix.

    The suffix is the Unix time in milliseconds, as 12 hexadecimal digits,
    and RANDOM_BYTES random bytes in hexadecimal.
    """
    stamp = int(clock.wall() * MILLISECONDS)
    return f'{prefix}{stamp:012x}{secrets.token_hex(RANDOM_BYTES)}'
