"""Faults that strike from outside; each begins, lasts and ends."""

import abc
import random

from soak.world import World


class Fault(abc.ABC):
    """One fault, drawn when it begins."""

    # Planned work may not cut a request.
    planned = False
    # How many times longer than others it lasts.
    lasts_x = float(1)

    def __init__(self, world: World, rng: random.Random) -> None:
        """Draw what it strikes with ``rng``."""
        self.world = world
        self.rng = rng
        self.entry = rng.choice(sorted(world.entries))
        self.target = self.entry

    @property
    def name(self) -> str:
        """Return what it is and what it strikes."""
        return f'{type(self).__name__} {self.target}'

    @abc.abstractmethod
    def begin(self) -> None:
        """Strike."""

    def end(self) -> None:
        """Heal; nothing if it is over by itself."""
