"""Exchange of reports about an outage of the store between entries.

An entry that cannot renew its lease sends all current reports to a few others
at a time, so that within a second each has most of them. An entry that has the
store reports that to entries whose rows are not renewed and to those that have
reported an outage. What an entry sends does not grow with the fleet.
"""

import random
from collections.abc import Callable, Iterable, Sequence

from cactusridge.organisations.common_outage import CommonOutage, StoreReport
from cactusridge.organisations.lease_state import StoreLease
from cactusridge.store.store_clock import StoreClock

# Seconds between two steps, and the number of entries that get the reports.
WATCH_INTERVAL_S = 0.2
RECIPIENTS = 4
# Seconds without a renewal after which the store does not respond to an entry:
# it renews its lease every second.
WITHOUT_STORE_S = 1.3
# Seconds without a reply after which a call counts as overdue, many times the
# usual few milliseconds. The timeout of 1 s is too long: half of the members
# must report an outage before the leases end.
OVERDUE_S = 0.1
# Seconds of membership at the last renewal that an entry needs to count on.
MEMBER_S = 3.0
# Largest number of reports in one message, some 20 KB.
MAX_REPORTS = 500


class OutageWatch:
    """Reports whether this entry has the store, and evaluates reports."""

    def __init__(
        self,
        own_name: str,
        outage: CommonOutage,
        lease: StoreLease,
        members: Callable[[], Sequence[str]],
        store_clock: StoreClock,
        send: Callable[[str, Sequence[StoreReport]], None],
    ) -> None:
        """Send reports to ``members`` with ``send``."""
        self._own_name = own_name
        self._outage = outage
        self._lease = lease
        self._members = members
        self._store_clock = store_clock
        self._send = send
        self._rng = random.Random(own_name)  # noqa: S311

    def step(self) -> None:
        """Send reports and evaluate those received.

        This is to be called every WATCH_INTERVAL_S. Reports are compared by
        the store's time, so there are none until it is known.
        """
        if not self._store_clock.is_known:
            return
        members = self._members()
        self._suspect_if_overdue()
        if self._lacks_store():
            self._outage.note(self._own_report(has_store=False))
            known = self._outage.reports()
            reports = self._rng.sample(known, min(len(known), MAX_REPORTS))
            self._send_to_some(members, reports)
        elif self._has_store():
            # Those that lack the store may not know of this entry.
            lacking = {*self._lease.stale_members(), *self._outage.lacking()}
            report = self._own_report(has_store=True)
            self._send_to_some(sorted(lacking), [report])
        # Entries that count on in the outage have read the list before it. They
        # know only those that had been members for some time.
        if self._lease.member_s() >= MEMBER_S:
            age_s = max(self._lease.unrenewed_s(), self._lease.unread_s())
            self._outage.update(members, age_s)

    def receive(self, sender: str, reports: Iterable[StoreReport]) -> None:
        """Record reports; respond if this entry has the store."""
        if not self._store_clock.is_known:
            return
        lacks_store = False
        for report in reports:
            self._outage.note(report)
            lacks_store |= not report.has_store
        # Two entries that have the store do not respond to each other.
        if lacks_store and self._has_store():
            self._send(sender, [self._own_report(has_store=True)])

    def receive_status(self, sender: str, *, has_store: bool) -> None:
        """Record the status of an entry, which other messages carry."""
        if self._store_clock.is_known:
            self._outage.note_status(sender, has_store=has_store)

    def _send_to_some(
        self, entries: Sequence[str], reports: Sequence[StoreReport]
    ) -> None:
        others = [each for each in entries if each != self._own_name]
        count = min(len(others), RECIPIENTS)
        for entry in self._rng.sample(others, count):
            self._send(entry, reports)

    def _own_report(self, *, has_store: bool) -> StoreReport:
        return StoreReport(
            self._own_name, self._store_clock.now_ms(), has_store
        )

    def _has_store(self) -> bool:
        """Return whether the last renewal and read are recent successes.

        An entry that waits for a reply may be the next to lack the store.
        """
        is_renewed = self._lease.unrenewed_s() < WITHOUT_STORE_S
        is_overdue = self._lease.overdue_s() >= OVERDUE_S
        return is_renewed and self._lease.is_read and not is_overdue

    def _suspect_if_overdue(self) -> None:
        """Suspect an outage before the call times out and the lease ends."""
        is_renewed = self._lease.unrenewed_s() <= WITHOUT_STORE_S
        if not is_renewed and self._lease.overdue_s() >= OVERDUE_S:
            self._lease.suspect_outage()

    def _lacks_store(self) -> bool:
        """Return whether neither a renewal nor a read succeeds.

        Only after a failed or overdue read does an entry let the leases of
        the others begin anew, on which they rely when the store is back.
        """
        return self._lease.unrenewed_s() > WITHOUT_STORE_S and (
            not self._lease.is_read
        )
