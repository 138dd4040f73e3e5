"""The interface for objects that publish the strikes of one entry."""

import abc
from collections.abc import Sequence

from cactusridge.quarantine.strike import Pair, Strike


class StrikeListener(abc.ABC):
    """Is notified of the strikes and withdrawals of this entry itself."""

    @abc.abstractmethod
    def struck(self, strikes: Sequence[Strike]) -> None:
        """Publish all known strikes of one request."""

    @abc.abstractmethod
    def withdrawn(self, pairs: Sequence[Pair]) -> None:
        """Publish the withdrawal of strikes."""
