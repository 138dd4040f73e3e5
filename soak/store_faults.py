"""Faults of the store: unavailable, slow, lost responses or history."""

import random

from soak.faults import Fault
from soak.world import World

SLOW_S = (0.1, 0.8)
LOST = (1, 12)


class StoreFault(Fault):
    """A fault of the store."""

    def __init__(self, world: World, rng: random.Random) -> None:
        """Create a fault of the store."""
        super().__init__(world, rng)
        self.target = 'store'
        self.store = world.store


class StoreDown(StoreFault):
    """The store returns 503 for every call."""

    def begin(self) -> None:
        """Make the store unavailable."""
        self.store.down = True

    def end(self) -> None:
        """Make the store available again."""
        self.store.down = False


class StoreSlow(StoreFault):
    """The store delays its responses."""

    def begin(self) -> None:
        """Set a random delay."""
        self.store.response_delay_s = self.rng.uniform(*SLOW_S)

    def end(self) -> None:
        """Remove the delay."""
        self.store.response_delay_s = 0


class AnswersOfWritesLost(StoreFault):
    """Writes get no response.

    The store applies them, does not apply them, or applies them late.
    """

    def begin(self) -> None:
        """Draw what happens to the next writes."""
        kinds = ('lost before', 'lost after', 'late')
        count = self.rng.randint(*LOST)
        self.store.faults = self.rng.choices(kinds, k=count)

    def end(self) -> None:
        """Respond to all writes again."""
        self.store.faults = []


class HistoryLost(StoreFault):
    """The store drops its history, so that watches read all rows again."""

    def begin(self) -> None:
        """Drop the history."""
        self.store.drop_history()


class StoreUnreachable(Fault):
    """Some entries cannot reach the store, often past lease expiry."""

    duration_factor = 1.8

    def begin(self) -> None:
        """Refuse the connections of half of the entries."""
        names = sorted(self.world.store_links)
        self._names = self.rng.sample(names, max(1, len(names) // 2))
        self.target = ' '.join(self._names)
        for name in self._names:
            self.world.store_links[name].refusing = True
            self.world.store_links[name].shut_down_connections()

    def end(self) -> None:
        """Accept their connections again."""
        for name in self._names:
            self.world.store_links[name].refusing = False
