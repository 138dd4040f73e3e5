"""The interface for objects that are notified when an incarnation ends."""

import abc


class LifeListener(abc.ABC):
    """Keeps state by the incarnation key of a replica."""

    @abc.abstractmethod
    def life_ended(self, life: str) -> None:
        """Discard the state about ``life``, an incarnation key.

        The key may be unknown to the listener.
        """
