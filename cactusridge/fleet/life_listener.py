"""Who is told that a life of a replica is over."""

import abc


class LifeListener(abc.ABC):
    """Keeps something by the life of a replica."""

    @abc.abstractmethod
    def life_ended(self, life: str) -> None:
        """Forget what is believed of ``life``; it may be unknown here."""
