"""The interface for objects that publish the strikes of one entry."""

import abc
from collections.abc import Sequence

from cactusridge.quarantine.strike import Strike, StrikePair


class StrikeListener(abc.ABC):
    """Is notified of the strikes and withdrawals of this entry itself."""

    @abc.abstractmethod
    def publish_strikes(self, strikes: Sequence[Strike]) -> None:
        """Publish all known strikes of one request."""

    @abc.abstractmethod
    def publish_withdrawals(self, pairs: Sequence[StrikePair]) -> None:
        """Publish the withdrawal of strikes."""
