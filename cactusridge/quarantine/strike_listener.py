"""Who passes on what one entry has found out about requests."""

import abc
from collections.abc import Sequence

from cactusridge.quarantine.strike import Pair, Strike


class StrikeListener(abc.ABC):
    """Is told of what this entry itself has seen."""

    @abc.abstractmethod
    def struck(self, strikes: Sequence[Strike]) -> None:
        """Pass on all strikes known against one request."""

    @abc.abstractmethod
    def withdrawn(self, pairs: Sequence[Pair]) -> None:
        """Pass on that strikes were taken back."""
