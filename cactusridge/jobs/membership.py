"""Membership of entries, based on leases that each renews in the store."""

import secrets
from collections.abc import Callable
from typing import Any, NamedTuple

from gevent.lock import RLock

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError, StoreUnavailable
from cactusridge.jobs.member import MEMBER_PREFIX, Member
from cactusridge.jobs.member_records import (
    STALE_S,
    MemberReader,
    MemberRecord,
    stale_members,
)
from cactusridge.jobs.member_views import MemberViews
from cactusridge.jobs.membership_start import MembershipStart
from cactusridge.start_trace import TRACE, StartStep
from cactusridge.store.table import Priority, Table, Write, WriteUnknown

# Interval in seconds between renewals, each followed by a read: two calls per
# second and entry to a store that handles some thousands per second.
RENEW_INTERVAL_S = 1.0
# Lease in seconds: an entry whose row has not changed for this long counts as
# dead. The lease covers two lost renewals and the time to read a third one.
MEMBER_LEASE_S = 3.2
# Safety margin in seconds: an entry stops relying on its lease this long before
# other entries may take over its jobs.
LEASE_MARGIN_S = 0.7

# Seconds between two reads after which this entry was suspended or slow. With
# shorter ones a read shows a row as stale before another shows it as expired.
RESUMED_S = MEMBER_LEASE_S - STALE_S


class LeaseAges(NamedTuple):
    """Seconds since the last renewal and read; infinity before the first.

    ``overdue_s`` is for how long the call in progress has had no reply, 0 if
    there is none.
    """

    unrenewed_s: float
    unread_s: float
    overdue_s: float = 0


class Membership:
    """Renews this entry's lease and tracks the leases of the others."""

    def __init__(
        self,
        table: Table,
        clock: Clock,
        name: str,
        address: tuple[str, int],
        zone: str,
        membership_start: MembershipStart,
    ) -> None:
        """Prepare the membership of the entry ``name``, not yet stored.

        Peers connect to ``address``.
        """
        self.me = Member(name, secrets.token_hex(8), *address, zone)
        self.renewed_at: float | None = None
        # The number of reads of the member list that succeeded.
        self.reads = 0
        self.membership_start = membership_start
        self._table = table
        self._clock = clock
        self._records: dict[str, MemberRecord] = {}
        self._reader = MemberReader()
        self._views = MemberViews(MEMBER_LEASE_S)
        # When the members were last read; whether they have been read since
        # the last attempt that failed.
        self._read_at: float | None = None
        # When they were first read after this entry was last suspended, and
        # whether it has reported an outage since the last read.
        self._resumed_at = float('-inf')
        self._is_suspect = False
        # When the renewal and read in progress began their current call.
        self._called_at: float | None = None
        self._is_read = False
        self._has_left = False
        self._on_read: Callable[[], None] | None = None
        self._on_restart: Callable[[], None] | None = None
        # Serialises the writes of this entry's row: a renewal that reached
        # the store after the removal would restore the row for a lease.
        self._write_lock = RLock()

    def on_read(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each read of the membership list.

        The listener must not block or switch greenlets, so that no other
        greenlet sees the new list before the listener has run.
        """
        self._on_read = listener

    def on_restart(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when this entry's membership begins anew.

        It is called before the renewal is sent and must not block.
        """
        self._on_restart = listener

    def renew_and_read(self) -> None:
        """Renew the lease and read the members once.

        Failures of the store are logged and not raised.
        """
        if self._has_left:
            return
        self._called_at = self._clock.monotonic()
        try:
            self._renew()
        except (StoreUnavailable, WriteUnknown) as exc:
            logs.emit(events.RENEWAL_FAILED, error=str(exc))
        self._called_at = self._clock.monotonic()
        try:
            self._read()
        except StoreUnavailable as read_error:
            # Without a read, other entries may have renewed their leases
            # unnoticed: all leases count anew from the next read.
            self._is_read = False
            logs.emit(events.RENEWAL_FAILED, error=str(read_error))
        finally:
            self._called_at = None

    def lease_is_valid(self) -> bool:
        """Return whether no other entry can have taken over this one's jobs.

        That holds until this entry's lease, less a margin, has expired.
        """
        if self.renewed_at is None:
            return False
        lease_age_s = self._clock.monotonic() - self.renewed_at
        return lease_age_s < MEMBER_LEASE_S - LEASE_MARGIN_S

    def is_current(self) -> bool:
        """Return whether both the last read and the last renewal are recent.

        All entries for which this holds know the same members, except for
        those that joined a few moments ago. A read that fails does not end
        it: what counts is the age of the last one that succeeded.
        """
        if self._read_at is None:
            return False
        read_age_s = self._clock.monotonic() - self._read_at
        return (
            read_age_s < MEMBER_LEASE_S - LEASE_MARGIN_S
            and self.lease_is_valid()
        )

    def ages(self) -> LeaseAges:
        """Return the ages of the last renewal, read and call."""
        now = self._clock.monotonic()
        times = (self.renewed_at, self._read_at)
        unrenewed_s, unread_s = (
            float('inf') if at is None else now - at for at in times
        )
        overdue_s = 0 if self._called_at is None else now - self._called_at
        return LeaseAges(unrenewed_s, unread_s, overdue_s)

    @property
    def is_read(self) -> bool:
        """Whether the last read succeeded and no outage is suspected."""
        return self._is_read and not self._is_suspect

    def suspect_outage(self) -> None:
        """Let the leases for the limits begin anew with the next read.

        Until then ``is_read`` is False. Other entries have been told that this
        one lacks the store, and rely on that when it has it again.
        """
        self._is_suspect = True

    @property
    def has_joined(self) -> bool:
        """Whether the members have been read and this entry is one of them."""
        return bool(self._records) and self.renewed_at is not None

    def members(self) -> tuple[Member, ...]:
        """Return the live members, including this entry.

        While the rows cannot be read, these are the members of the last
        read. The result is the same object until they change.
        """
        now = self._clock.monotonic() if self._is_read else None
        return self._views.live(self.me, self._records, now)

    def members_as_read(self) -> tuple[Member, ...]:
        """Return this entry and those that were live at the last read.

        Unlike in ``members``, no lease expires between two reads: the row may
        have been renewed since. Leases begin anew after a suspension: entries
        that count limits without the store are told that this one has it
        before it takes their places. The result is the same object until the
        members change.
        """
        read_at = self._read_at or float(0)
        return self._views.as_read(
            self.me, self._records, read_at, self._resumed_at
        )

    def stale_members(self) -> list[Member]:
        """Return the other members whose rows are not renewed any more."""
        found = stale_members(self._records.values(), self._read_at or 0)
        return [each for each in found if each.name != self.me.name]

    def is_live(self, name: str, life: str) -> bool:
        """Return whether the holder of a job may still be running.

        ``name`` is the entry that holds the job and ``life`` its
        incarnation. Until the members have been read, every holder other
        than this entry counts as live.
        """
        if name == self.me.name:
            return life == self.me.life
        if not self._is_read:
            return True
        record = self._records.get(name)
        if record is None:
            return False
        if record.member is not None and record.member.life != life:
            return False
        return not self._is_expired(record)

    def silent_s(self, name: str) -> float | None:
        """Return for how long an entry's row has not changed, in seconds.

        Returns None if it has no row, for instance after it has left.
        """
        record = self._records.get(name)
        if record is None:
            return None
        return self._clock.monotonic() - record.seen_at

    def leave(self) -> None:
        """Remove this entry's row so that others need not await its expiry.

        Raises StoreUnavailable, WriteUnknown.
        """
        self._has_left = True
        write = Write(f'{MEMBER_PREFIX}{self.me.name}', None)
        with self._write_lock:
            self._table.transact([], [write], Priority.lease)

    def _is_expired(self, record: MemberRecord) -> bool:
        """Return whether a member's lease has expired.

        No lease counts as expired after a read that failed.
        """
        if not self._is_read:
            return False
        return self._clock.monotonic() - record.seen_at >= MEMBER_LEASE_S

    def _renew(self) -> None:
        key = f'{MEMBER_PREFIX}{self.me.name}'
        with self._write_lock:
            if self._has_left:
                return
            since_ms = self.membership_start.since_ms(self._table, key)
            self._begin_at(since_ms)
            heartbeat = {
                'beat': secrets.token_hex(4),
                **self.membership_start.renewal_field(),
            }
            write = Write(key, {**self.me._asdict(), **heartbeat})
            sent_at = self._clock.monotonic()
            self._table.transact([], [write], Priority.lease)
        self.renewed_at = sent_at
        self.membership_start.confirm_renewal()

    def _begin_at(self, since_ms: int) -> None:
        """Set the start of the membership; notify the listener of a new one.

        Rights of the earlier membership must not be used between the renewal
        and the next read.
        """
        if self.me.since_ms == since_ms:
            return
        self.me = self.me._replace(since_ms=since_ms)
        if self._on_restart is not None:
            self._on_restart()

    def _read(self) -> None:
        rows = self._table.scan(MEMBER_PREFIX, Priority.lease)
        now = self._clock.monotonic()
        restart = not self._is_read
        if self._is_suspect or self.ages().unread_s >= RESUMED_S:
            self._resumed_at = now
        self._is_suspect = False
        known = set(self._records)
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
        self._read_at = now
        self._is_read = True
        self.reads += 1
        TRACE.mark(StartStep.members)
        if self._on_read is not None:
            self._on_read()
        for name in set(self._records) - known:
            logs.emit(events.MEMBER_FOUND, member=name)
        for departed in known - set(self._records):
            logs.emit(events.MEMBER_GONE, member=departed)


def log_errors(action: Any) -> None:
    """Call ``action``; log a CactusridgeError instead of raising it."""
    try:
        action()
    except CactusridgeError as exc:
        logs.emit(events.RENEWAL_FAILED, error=str(exc))
