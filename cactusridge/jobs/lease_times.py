"""When an entry renewed its lease and read the members."""

import contextlib
from collections.abc import Iterator

from cactusridge.clock import Clock
from cactusridge.jobs.lease_ages import LeaseAges
from cactusridge.jobs.member_records import STALE_S

# Lease in seconds: an entry whose row has not changed for this long counts as
# dead. The lease covers two lost renewals and the time to read a third one.
MEMBER_LEASE_S = 3.2
# Safety margin in seconds: an entry stops relying on its lease this long before
# other entries may take over its jobs.
LEASE_MARGIN_S = 0.7

# Seconds between two reads from which the leases for the limits begin anew.
# With a shorter gap one read shows a row as stale before another shows it as
# expired.
RESUMED_S = MEMBER_LEASE_S - STALE_S


class LeaseTimes:
    """The times of this entry's renewals, reads and calls to the store.

    They are in seconds of the monotonic clock.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a renewal, a read or a call."""
        self.renewed_at: float | None = None
        # When the members were last read; whether they have been read since
        # the last attempt that failed.
        self.read_at: float | None = None
        self.last_read_succeeded = False
        # Time of the last read with which all leases for the limits began
        # anew, and whether an outage is suspected since the last read.
        self.resumed_at = float('-inf')
        self._is_suspect = False
        # When the renewal or the read in progress began; None between them.
        self._called_at: float | None = None
        self._clock = clock

    @contextlib.contextmanager
    def call(self) -> Iterator[None]:
        """Record that a renewal or a read is in progress."""
        self._called_at = self._clock.monotonic()
        try:
            yield
        finally:
            self._called_at = None

    def begin_update(self, now: float) -> None:
        """Record that the reply with the members arrived at ``now``.

        After a suspension or a suspected outage, leases begin anew.
        """
        if self._is_suspect or self.ages().unread_s >= RESUMED_S:
            self.resumed_at = now
        self._is_suspect = False

    def end_update(self, now: float) -> None:
        """Record that the members are known as read at ``now``."""
        self.read_at = now
        self.last_read_succeeded = True

    def fail_read(self) -> None:
        """Record that a read failed.

        Without a read, other entries may have renewed their leases unnoticed:
        all leases count anew from the next read.
        """
        self.last_read_succeeded = False

    def suspect_outage(self) -> None:
        """Let the leases for the limits begin anew with the next read."""
        self._is_suspect = True

    @property
    def is_read(self) -> bool:
        """Whether the last read succeeded and no outage is suspected."""
        return self.last_read_succeeded and not self._is_suspect

    def lease_is_valid(self) -> bool:
        """Return whether the lease, less a margin, has not expired."""
        if self.renewed_at is None:
            return False
        lease_age_s = self._clock.monotonic() - self.renewed_at
        return lease_age_s < MEMBER_LEASE_S - LEASE_MARGIN_S

    def is_current(self) -> bool:
        """Return whether both the last read and the last renewal are recent."""
        if self.read_at is None:
            return False
        read_age_s = self._clock.monotonic() - self.read_at
        return (
            read_age_s < MEMBER_LEASE_S - LEASE_MARGIN_S
            and self.lease_is_valid()
        )

    def ages(self) -> LeaseAges:
        """Return the ages of the last renewal, read and call."""
        now = self._clock.monotonic()
        times = (self.renewed_at, self.read_at)
        unrenewed_s, unread_s = (
            float('inf') if at is None else now - at for at in times
        )
        overdue_s = 0 if self._called_at is None else now - self._called_at
        return LeaseAges(unrenewed_s, unread_s, overdue_s)
