"""The interface for objects that are notified when an incarnation ends."""

import abc


class IncarnationListener(abc.ABC):
    """Keeps state by the incarnation key of a replica."""

    @abc.abstractmethod
    def incarnation_ended(self, incarnation: str) -> None:
        """Discard the state about ``incarnation``, an incarnation key.

        The key may be unknown to the listener.
        """
