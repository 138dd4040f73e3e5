"""The lease by which an entry may count the limits of organisations."""

from cactusridge.jobs.membership import Membership
from cactusridge.organisations.lease_state import StoreLease
from cactusridge.peers.peer_socket import peer_name


class MembershipLease(StoreLease):
    """The lease of a membership row."""

    def __init__(self, session: Membership) -> None:
        """Wrap the membership of this entry."""
        self._session = session

    def is_current(self) -> bool:
        """Return whether the lease is valid and the members known."""
        return self._session.is_current()

    def unrenewed_s(self) -> float:
        """Return the seconds since the last renewal."""
        return self._session.ages().unrenewed_s

    def unread_s(self) -> float:
        """Return the seconds since the last read of the members."""
        return self._session.ages().unread_s

    def member_s(self) -> float:
        """Return how long the entry was a member at its last renewal."""
        return self._session.membership_start.member_s()

    def stale_members(self) -> list[str]:
        """Return the entries whose rows are not renewed any more."""
        return [
            peer_name((each.host, each.port))
            for each in self._session.stale_members()
        ]

    def overdue_s(self) -> float:
        """Return for how long a call for the lease has had no reply."""
        return self._session.ages().overdue_s

    def suspect_outage(self) -> None:
        """Count the members as not read until the next read succeeds."""
        self._session.suspect_outage()

    @property
    def is_read(self) -> bool:
        """Whether the last read succeeded and no outage is suspected since."""
        return self._session.is_read
