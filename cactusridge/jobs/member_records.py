"""Records of the members, read from their rows."""

from collections.abc import Iterable
from typing import NamedTuple

from cactusridge.jobs.member import Member, parse_member
from cactusridge.store.row_reader import RowReader
from cactusridge.store.table import Row
from cactusridge.store.unreadable import UnreadableRecord

# Types of the fields of Member. They are compared as well as the values, since
# True equals 1 and 1.0 equals 1.
FIELD_TYPES = (str, str, str, int, str, int)
# Age in seconds of an unchanged row from which it counts as stale: it has
# missed a renewal, since rows are renewed every second.
STALE_S = 1.5
# Age in seconds from which a stale row counts as that of an ended process. Rows
# of entries that crashed stay in the store.
FORGOTTEN_S = 60.0


class MemberRecord(NamedTuple):
    """A member, the version of its row and when that version was read.

    ``seen_at`` is in seconds of the monotonic clock. ``member`` is None if
    the row has been unreadable since it was found. Its entry then counts
    as live, in any incarnation, until a lease has passed.
    """

    member: Member | None
    version: int
    seen_at: float


def stale_members(
    records: Iterable[MemberRecord], read_at: float
) -> list[Member]:
    """Return the members whose rows had not changed for some time.

    ``read_at`` is the time of the last read. Those that are not live any
    more are among them.
    """
    return [
        record.member
        for record in records
        if record.member is not None
        and STALE_S <= read_at - record.seen_at < FORGOTTEN_S
    ]


class MemberReader:
    """Reads the rows of members; an unreadable row changes no lease."""

    def __init__(self) -> None:
        """Start without rows."""
        self._reader = RowReader()

    def updated(
        self,
        known: MemberRecord | None,
        row: Row,
        now: float,
        restart: bool,
    ) -> MemberRecord:
        """Return the record of a row that was read at ``now``.

        ``known`` is the record of the earlier read, if there is one. With
        ``restart`` the lease counts anew even if the row has not changed.
        """
        if known and not restart and known.version == row.version:
            return known
        if known and known.member and _describes(row, known.member):
            return MemberRecord(known.member, row.version, now)
        try:
            member = self._reader.read(row, parse_member)
        except UnreadableRecord:
            return _unreadable_record(known, row, now, restart)
        return MemberRecord(member, row.version, now)


def _describes(row: Row, member: Member) -> bool:
    """Return whether a row has exactly the fields of ``member``.

    Every row changes each second, but rarely more than its heartbeat.
    """
    if row.value is None or row.unreadable:
        return False
    fields = tuple(map(row.value.get, Member._fields))
    return fields == member and tuple(map(type, fields)) == FIELD_TYPES


def _unreadable_record(
    known: MemberRecord | None,
    row: Row,
    now: float,
    restart: bool,
) -> MemberRecord:
    """Return the record of a member whose row has become unreadable.

    An unreadable row neither renews a lease nor ends it early, since
    another writer may have overwritten the row of a live entry.
    """
    if known is None:
        return MemberRecord(None, row.version, now)
    seen_at = now if restart else known.seen_at
    return MemberRecord(known.member, row.version, seen_at)
