"""The live members, computed again only when they can have changed."""

from collections.abc import Mapping

from cactusridge.jobs.member import Member
from cactusridge.jobs.member_records import MemberRecord

NEVER_S = float('inf')


class MemberViews:
    """The members whose leases are valid now, or were at the last read.

    Both are needed many times a second and change when the list is read or a
    lease expires. They are the same objects as long as their members are the
    same, so that callers can keep what they derive from them.
    """

    def __init__(self, lease_s: float) -> None:
        """Count a member as live for ``lease_s`` after its row has changed."""
        self._lease_s = lease_s
        self._live: tuple[Member, ...] = ()
        self._live_basis: tuple[object, ...] = ()
        self._live_until = float(0)
        self._as_read: tuple[Member, ...] = ()
        self._as_read_basis: tuple[object, ...] = ()

    def live(
        self,
        own: Member,
        records: Mapping[str, MemberRecord],
        expired_at: float | None,
    ) -> tuple[Member, ...]:
        """Return ``own`` and the members whose lease has not expired.

        ``expired_at`` is the time at which leases are examined, or None if
        none counts as expired.
        """
        now = -NEVER_S if expired_at is None else expired_at
        basis = (own, records, expired_at is None)
        if basis != self._live_basis or now >= self._live_until:
            found = self._members(own, records, now)
            if found != self._live:
                self._live = found
            self._live_basis = basis
            self._live_until = self._next_expiry(records, now)
        return self._live

    def as_read(
        self,
        own: Member,
        records: Mapping[str, MemberRecord],
        read_at: float,
        resumed_at: float,
    ) -> tuple[Member, ...]:
        """Return ``own`` and the members that were live at ``read_at``.

        No lease began before ``resumed_at``.
        """
        basis = (own, records, read_at, resumed_at)
        if basis != self._as_read_basis:
            found = self._members(own, records, read_at, resumed_at)
            if found != self._as_read:
                self._as_read = found
            self._as_read_basis = basis
        return self._as_read

    def _members(
        self,
        own: Member,
        records: Mapping[str, MemberRecord],
        now: float,
        resumed_at: float = -NEVER_S,
    ) -> tuple[Member, ...]:
        others = [
            record.member
            for record in records.values()
            if record.member is not None
            and record.member.name != own.name
            and now - max(record.seen_at, resumed_at) < self._lease_s
        ]
        return (own, *others)

    def _next_expiry(
        self, records: Mapping[str, MemberRecord], now: float
    ) -> float:
        valid = [
            record.seen_at + self._lease_s
            for record in records.values()
            if now - record.seen_at < self._lease_s
        ]
        return min(valid, default=NEVER_S)
