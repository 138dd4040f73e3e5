"""Interface through which an entry reports its confirmed keys to peers."""

import abc
from typing import NamedTuple


class KeysConfirmed(NamedTuple):
    """Confirmation that a catalog version was the newest at some time.

    ``confirmed_at`` is that time in seconds of this process's clock; the
    version may still have been the newest later.
    """

    version: int
    confirmed_at: float


class KeySource(abc.ABC):
    """Supplies an entry's confirmation to peers that cannot read the store."""

    @abc.abstractmethod
    def confirmation(self) -> KeysConfirmed | None:
        """Return the last confirmation, or None without a valid lease."""
