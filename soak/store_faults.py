"""The store is away, slow, loses answers or forgets."""

import random

from soak.faults import Fault
from soak.world import World

SLOW_S = (0.1, 0.8)
LOST = (1, 12)


class StoreFault(Fault):
    """A fault of the store."""

    def __init__(self, world: World, rng: random.Random) -> None:
        """Strike the store."""
        super().__init__(world, rng)
        self.target = 'store'
        self.store = world.store


class StoreDown(StoreFault):
    """Every call is answered 503."""

    def begin(self) -> None:
        """Go away."""
        self.store.down = True

    def end(self) -> None:
        """Come back."""
        self.store.down = False


class StoreSlow(StoreFault):
    """Every answer takes its time."""

    def begin(self) -> None:
        """Slow down."""
        self.store.slow_s = self.rng.uniform(*SLOW_S)

    def end(self) -> None:
        """Be as fast as before."""
        self.store.slow_s = 0


class AnswersOfWritesLost(StoreFault):
    """Writes are done, not done, or done late, and nobody hears."""

    def begin(self) -> None:
        """Lose the answers of the next writes."""
        kinds = ('lost before', 'lost after', 'late')
        count = self.rng.randint(*LOST)
        self.store.faults = self.rng.choices(kinds, k=count)

    def end(self) -> None:
        """Lose no more."""
        self.store.faults = []


class HistoryLost(StoreFault):
    """Watches have to read everything anew."""

    def begin(self) -> None:
        """Forget."""
        self.store.forget_history()


class StoreUnreachable(Fault):
    """The store turns some entries away, often past their leases."""

    lasts_x = 1.8

    def begin(self) -> None:
        """Turn half of them away."""
        names = sorted(self.world.store_links)
        self._names = self.rng.sample(names, max(1, len(names) // 2))
        self.target = ' '.join(self._names)
        for name in self._names:
            self.world.store_links[name].refusing = True
            self.world.store_links[name].cut()

    def end(self) -> None:
        """Serve them again."""
        for name in self._names:
            self.world.store_links[name].refusing = False
