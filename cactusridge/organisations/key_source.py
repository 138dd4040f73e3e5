"""Since when what an entry knows of keys is confirmed."""

import abc
from typing import NamedTuple


class KeysConfirmed(NamedTuple):
    """That a configuration was the newest ``at`` a moment, or later."""

    version: int
    at: float


class KeySource(abc.ABC):
    """Tells what an entry has, for others that lost the store."""

    @abc.abstractmethod
    def confirmed(self) -> KeysConfirmed | None:
        """Return since when what is known here is confirmed, if it is."""
