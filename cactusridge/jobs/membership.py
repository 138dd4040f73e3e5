"""Membership of entries, based on leases that each renews in the store."""

import secrets
from collections.abc import Callable
from typing import Any

from gevent.lock import RLock

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError, StoreUnavailable
from cactusridge.jobs.known_members import KnownMembers
from cactusridge.jobs.lease_ages import LeaseAges
from cactusridge.jobs.lease_times import LeaseTimes
from cactusridge.jobs.member import MEMBER_PREFIX, Member
from cactusridge.jobs.membership_start import MembershipStart
from cactusridge.start_trace import TRACE, StartStep
from cactusridge.store.table import Priority, Table, Write, WriteUnknown

# Interval in seconds between renewals, each followed by a read: two calls per
# second and entry to a store that handles some thousands per second.
RENEW_INTERVAL_S = 1.0


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
        # The number of reads of the member list that succeeded.
        self.reads = 0
        self.membership_start = membership_start
        self._table = table
        self._clock = clock
        self._times = LeaseTimes(clock)
        self._known = KnownMembers()
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
        try:
            with self._times.call():
                self._renew()
        except (StoreUnavailable, WriteUnknown) as exc:
            logs.emit(events.RENEWAL_FAILED, error=str(exc))
        try:
            with self._times.call():
                self._read()
        except StoreUnavailable as read_error:
            self._times.fail_read()
            logs.emit(events.RENEWAL_FAILED, error=str(read_error))

    def lease_is_valid(self) -> bool:
        """Return whether no other entry can have taken over this one's jobs.

        That holds until this entry's lease, less a margin, has expired.
        """
        return self._times.lease_is_valid()

    def is_current(self) -> bool:
        """Return whether both the last read and the last renewal are recent.

        All entries for which this holds know the same members, except for
        those that joined a few moments ago. A read that fails does not end
        it: what counts is the age of the last one that succeeded.
        """
        return self._times.is_current()

    def ages(self) -> LeaseAges:
        """Return the ages of the last renewal, read and call."""
        return self._times.ages()

    @property
    def is_read(self) -> bool:
        """Whether the last read succeeded and no outage is suspected."""
        return self._times.is_read

    def suspect_outage(self) -> None:
        """Let the leases for the limits begin anew with the next read.

        Until then ``is_read`` is False. Other entries may count limits on the
        strength of this entry's report; they must receive the opposite one
        before this entry replaces them.
        """
        self._times.suspect_outage()

    @property
    def has_joined(self) -> bool:
        """Whether the members have been read and this entry is one of them."""
        return not self._known.is_empty and self._times.renewed_at is not None

    def members(self) -> tuple[Member, ...]:
        """Return the live members, including this entry.

        While the rows cannot be read, these are the members of the last
        read. The result is the same object until they change.
        """
        is_known = self._times.last_read_succeeded
        now = self._clock.monotonic() if is_known else None
        return self._known.live(self.me, now)

    def members_as_read(self) -> tuple[Member, ...]:
        """Return this entry and those that were live at the last read.

        Unlike in ``members``, no lease expires between two reads: the row may
        have been renewed since. Leases begin anew after a suspension: entries
        that count limits without the store are told that this one has it
        before it takes their places. The result is the same object until the
        members change.
        """
        read_at = self._times.read_at or float(0)
        return self._known.as_read(self.me, read_at, self._times.resumed_at)

    def stale_members(self) -> list[Member]:
        """Return the other members whose rows are not renewed any more."""
        return self._known.stale(self.me, self._times.read_at or 0)

    def is_live(self, name: str, life: str) -> bool:
        """Return whether the holder of a job may still be running.

        ``name`` is the entry that holds the job and ``life`` its
        incarnation. Until the members have been read, and after a read that
        failed, every holder other than this entry counts as live.
        """
        if name == self.me.name:
            return life == self.me.life
        if not self._times.last_read_succeeded:
            return True
        return self._known.is_live(name, life, self._clock.monotonic())

    def silent_s(self, name: str) -> float | None:
        """Return for how long an entry's row has not changed, in seconds.

        Returns None if it has no row, for instance after it has left.
        """
        return self._known.silent_s(name, self._clock.monotonic())

    def leave(self) -> None:
        """Remove this entry's row so that others need not await its expiry.

        Raises StoreUnavailable, WriteUnknown.
        """
        self._has_left = True
        write = Write(f'{MEMBER_PREFIX}{self.me.name}', None)
        with self._write_lock:
            self._table.transact([], [write], Priority.lease)

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
        self._times.renewed_at = sent_at
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
        restart = not self._times.last_read_succeeded
        self._times.begin_update(now)
        known = self._known.names()
        self._known.update(rows, now, restart)
        self._times.end_update(now)
        self.reads += 1
        TRACE.mark(StartStep.members)
        if self._on_read is not None:
            self._on_read()
        found = self._known.names()
        for name in found - known:
            logs.emit(events.MEMBER_FOUND, member=name)
        for departed in known - found:
            logs.emit(events.MEMBER_GONE, member=departed)


def log_errors(action: Any) -> None:
    """Call ``action``; log a CactusridgeError instead of raising it."""
    try:
        action()
    except CactusridgeError as exc:
        logs.emit(events.RENEWAL_FAILED, error=str(exc))
