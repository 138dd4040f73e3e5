"""The base class of injected faults; each fault begins and ends."""

import abc
import random

from soak.world import World


class Fault(abc.ABC):
    """One injected fault with a target that is drawn at random."""

    # Planned operations may not interrupt a request.
    planned = False
    # Factor by which the fault lasts longer than other faults.
    duration_factor = float(1)

    def __init__(self, world: World, rng: random.Random) -> None:
        """Draw the target with ``rng``."""
        self.world = world
        self.rng = rng
        self.entry = rng.choice(sorted(world.entries))
        self.target = self.entry

    @property
    def name(self) -> str:
        """Return the kind of the fault and its target."""
        return f'{type(self).__name__} {self.target}'

    @abc.abstractmethod
    def begin(self) -> None:
        """Inject the fault."""

    def end(self) -> None:
        """Undo the fault; does nothing if the fault has no duration."""
