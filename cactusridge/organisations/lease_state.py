"""What the lease of an entry allows it to count."""

import abc
from collections.abc import Sequence

from cactusridge.organisations.common_outage import CommonOutage

# Seconds without a renewal after which others may have taken over: they do so
# 3.2 s after it at the earliest.
LAPSED_S = 3.0


class StoreLease(abc.ABC):
    """The lease of an entry in the store."""

    @abc.abstractmethod
    def is_current(self) -> bool:
        """Return whether the lease is valid and the members known."""

    @abc.abstractmethod
    def unrenewed_s(self) -> float:
        """Return the seconds since the last renewal."""

    @abc.abstractmethod
    def unread_s(self) -> float:
        """Return the seconds since the last read of the members."""

    @abc.abstractmethod
    def member_s(self) -> float:
        """Return how long the entry was a member at its last renewal."""

    @abc.abstractmethod
    def stale_members(self) -> Sequence[str]:
        """Return the entries whose rows are not renewed any more.

        They may be running without the store, also those that the list
        no longer has.
        """

    @abc.abstractmethod
    def overdue_s(self) -> float:
        """Return for how long a call for the lease has had no reply."""

    @abc.abstractmethod
    def suspect_outage(self) -> None:
        """Count the members as not read until the next read succeeds.

        The leases of the others begin anew with that read.
        """

    @property
    @abc.abstractmethod
    def is_read(self) -> bool:
        """Whether the last read succeeded and no outage is suspected since."""


class LeaseState:
    """Whether the right to count by the membership list holds."""

    def __init__(self, lease: StoreLease, outage: CommonOutage) -> None:
        """Combine ``lease`` with what ``outage`` allows without one."""
        self._lease = lease
        self._outage = outage

    def is_current(self) -> bool:
        """Return whether this entry may count what it owns."""
        return self._lease.is_current() or self._outage.holds()

    def is_renewed(self) -> bool:
        """Return whether the lease itself is valid, without an outage."""
        return self._lease.is_current()

    def has_lapsed(self) -> bool:
        """Return whether other entries may have taken over."""
        if self._outage.holds():
            return False
        return self._lease.unrenewed_s() >= LAPSED_S
