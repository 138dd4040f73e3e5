"""The membership list as a simulated entry knows it."""

import typing

from cactusridge.jobs.lease_times import RESUMED_S
from cactusridge.jobs.member_records import FORGOTTEN_S, STALE_S
from cactusridge.jobs.membership_start import MS_PER_S
from cactusridge.organisations.lease_state import StoreLease
from cactusridge.organisations.limit_messages import Candidate

if typing.TYPE_CHECKING:
    from tests.limits_entry import Entry

LEASE_S = 3.2
ROW_CURRENT_S = 2.5
MEMBERSHIP_GAP_S = 3.0
RESTART_STEP_S = 0.001
# Timeout of a call of the store, and the number of calls of each step: a
# renewal, and a read that is repeated once.
CALL_TIMEOUT_S = 1.0
CALLS = 3
NEVER = float('-inf')


class FleetRow(typing.NamedTuple):
    """A row of the list; both times in seconds of the store's clock."""

    since: float
    renewed: float


class ReadRow(typing.NamedTuple):
    """A row as read, and when it was first read in that version."""

    row: FleetRow
    changed_at: float


class FleetMembership(StoreLease):
    """Renews the row of one entry and reads those of the others."""

    def __init__(self, entry: 'Entry') -> None:
        """Start a process of ``entry`` that has no row yet."""
        self.has_left = False
        self._entry = entry
        self._clock = entry.fleet.clock
        self._since = NEVER
        self._renewed = NEVER
        self._read_at = NEVER
        self._is_read = False
        self._rows: dict[str, ReadRow] = {}
        # The call that waits for a reply: which of CALLS, and since when.
        self._call = 0
        self._sent_at = NEVER
        self._is_renewal_lost = False
        self._is_suspect = False

    def is_current(self):
        """Return whether the row was renewed and the rows read recently."""
        return max(self.unrenewed_s(), self.unread_s()) < ROW_CURRENT_S

    def unrenewed_s(self):
        """Return the seconds since the last renewal."""
        return self._clock.now - self._renewed

    def unread_s(self):
        """Return the seconds since the last read."""
        return self._clock.now - self._read_at

    def member_s(self):
        """Return how long the entry was a member at its last renewal."""
        return 0 if self._since == NEVER else self._renewed - self._since

    def stale_members(self):
        """Return the entries whose rows are not renewed any more."""
        return [
            name
            for name, read in self._rows.items()
            if STALE_S <= self._read_at - read.changed_at < FORGOTTEN_S
        ]

    @property
    def is_read(self):
        """Whether the last read succeeded and no outage is suspected."""
        return self._is_read and not self._is_suspect

    def overdue_s(self):
        """Return for how long the current call has had no reply."""
        return 0 if self._sent_at == NEVER else self._clock.now - self._sent_at

    def suspect_outage(self):
        """Count the members as not read until the next read."""
        self._is_suspect = True

    def listed(self) -> list[Candidate]:
        """Return the live entries according to this entry's reads."""
        if not self._rows:
            return []
        # Ages count up to the last read, so that an entry that cannot read
        # the list does not treat the others as expired.
        others = [
            _candidate(name, read.row.since)
            for name, read in self._rows.items()
            if self._read_at - read.changed_at < LEASE_S
            and name != self._entry.name
        ]
        return [_candidate(self._entry.name, self._since), *others]

    def names(self) -> list[str]:
        """Return the names of the listed entries."""
        return [each.name for each in self.listed()]

    def step(self, continues: bool) -> None:
        """Renew this entry's row and read the rows of all entries.

        ``continues`` is whether the membership goes on after a gap.
        """
        now = self._clock.now
        if self.has_left:
            return
        is_renewal_lost = self._is_renewal_lost
        self._is_renewal_lost = False
        if not self.reaches_store():
            self._is_read = False
            return
        rows = self._entry.fleet.rows
        restart = not self.is_read or self.unread_s() >= RESUMED_S
        if not is_renewal_lost:
            self._renew(now, continues)
        self._rows = {
            name: ReadRow(row, self._changed_at(name, row, restart))
            for name, row in rows.items()
        }
        self._read_at = now
        self._is_read = True
        self._is_suspect = False

    def await_reply(self) -> float:
        """Return how long the call in progress waits until it times out.

        Returns 0 if there is a reply, or if all calls have timed out.
        """
        now = self._clock.now
        if self._sent_at != NEVER:
            self._call += 1
            self._is_renewal_lost = True
            self._sent_at = NEVER
        if self._entry.store_silent and self._call < CALLS:
            self._sent_at = now
            return CALL_TIMEOUT_S
        self._call = 0
        return 0

    def leave(self) -> None:
        """Remove the row if the store responds, and renew it no longer."""
        self.has_left = True
        if self.reaches_store():
            self._entry.fleet.rows.pop(self._entry.name, None)

    def reaches_store(self) -> bool:
        """Return whether the store replies to this entry."""
        return not (
            self._entry.partitioned
            or self._entry.store_lost
            or self._entry.store_silent
        )

    def _renew(self, now: float, continues: bool) -> None:
        rows = self._entry.fleet.rows
        is_new = self._renewed == NEVER
        if is_new:
            self._continue_previous(rows.get(self._entry.name))
        if self.unrenewed_s() > MEMBERSHIP_GAP_S and not (continues or is_new):
            self._since = now
        self._renewed = now
        rows[self._entry.name] = FleetRow(self._since, now)

    def _continue_previous(self, row: FleetRow | None) -> None:
        """Continue the membership of a process that ended a moment ago."""
        now = self._clock.now
        self._since = now
        if row is not None and now - row.renewed <= MEMBERSHIP_GAP_S:
            self._since = row.since + RESTART_STEP_S

    def _changed_at(self, name: str, row: FleetRow, restart: bool) -> float:
        """Return since when a row is known; all begin anew on ``restart``."""
        known = self._rows.get(name)
        if known is not None and known.row == row and not restart:
            return known.changed_at
        return self._clock.now


def _candidate(name: str, since: float) -> Candidate:
    return Candidate(name, int(max(0, since) * MS_PER_S))
