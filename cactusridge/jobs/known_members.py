"""The members of the last read and the ages of their rows."""

from collections.abc import Iterable

from cactusridge.jobs.lease_times import MEMBER_LEASE_S
from cactusridge.jobs.member import MEMBER_PREFIX, Member
from cactusridge.jobs.member_records import (
    MemberReader,
    MemberRecord,
    stale_members,
)
from cactusridge.jobs.member_views import MemberViews
from cactusridge.store.table import Row


class KnownMembers:
    """The members as this entry last read them.

    Times are in seconds of the monotonic clock.
    """

    def __init__(self) -> None:
        """Start without members."""
        self._records: dict[str, MemberRecord] = {}
        self._reader = MemberReader()
        self._views = MemberViews(MEMBER_LEASE_S)

    @property
    def is_empty(self) -> bool:
        """Whether no row of a member is known."""
        return not self._records

    def names(self) -> set[str]:
        """Return the names of the entries that have a row."""
        return set(self._records)

    def update(self, rows: Iterable[Row], now: float, restart: bool) -> None:
        """Replace the members by those in ``rows``, read at ``now``.

        With ``restart`` all leases count anew.
        """
        found = {
            row.key.removeprefix(MEMBER_PREFIX): row
            for row in rows
            if not row.absent
        }
        self._records = {
            name: self._reader.updated(
                self._records.get(name), row, now, restart
            )
            for name, row in found.items()
        }

    def live(self, own: Member, expired_at: float | None) -> tuple[Member, ...]:
        """Return ``own`` and the members whose lease has not expired.

        ``expired_at`` is the time at which leases are examined, or None if
        none counts as expired.
        """
        return self._views.live(own, self._records, expired_at)

    def as_read(
        self, own: Member, read_at: float, resumed_at: float
    ) -> tuple[Member, ...]:
        """Return ``own`` and the members that were live at ``read_at``.

        No lease began before ``resumed_at``.
        """
        return self._views.as_read(own, self._records, read_at, resumed_at)

    def stale(self, own: Member, read_at: float) -> list[Member]:
        """Return the members but ``own`` whose rows had not changed lately."""
        found = stale_members(self._records.values(), read_at)
        return [each for each in found if each.name != own.name]

    def is_live(self, name: str, life: str, now: float) -> bool:
        """Return whether the incarnation ``life`` of an entry may be running.

        Its lease is examined at ``now``.
        """
        record = self._records.get(name)
        if record is None:
            return False
        if record.member is not None and record.member.life != life:
            return False
        return now - record.seen_at < MEMBER_LEASE_S

    def silent_s(self, name: str, now: float) -> float | None:
        """Return for how long an entry's row had not changed at ``now``.

        Returns None if it has no row.
        """
        record = self._records.get(name)
        return None if record is None else now - record.seen_at
