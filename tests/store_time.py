"""A store's clock as an entry knows it after a reply of the store."""

from cactusridge.clock import Clock
from cactusridge.store.store_clock import MS, StoreClock


def store_clock_at(clock: Clock) -> StoreClock:
    """Return a store's clock that shows the same time as ``clock``."""
    found = StoreClock(clock)
    found.note(clock.monotonic() * MS)
    return found
