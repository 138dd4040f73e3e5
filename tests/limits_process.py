"""The process of a simulated entry, with what it has in memory."""

import typing

from cactusridge.jobs.membership_start import MS_PER_S
from cactusridge.organisations.common_outage import CommonOutage
from cactusridge.organisations.join_confirmations import JoinConfirmations
from cactusridge.organisations.lease_state import LeaseState
from cactusridge.organisations.limit_counter import LimitCounter
from cactusridge.organisations.limit_handover import LimitHandover
from cactusridge.organisations.limit_messages import LimitCopy
from cactusridge.organisations.limit_owners import (
    UPDATE_INTERVAL_S,
    LimitOwners,
)
from cactusridge.organisations.outage_watch import (
    WATCH_INTERVAL_S,
    OutageWatch,
)
from cactusridge.store.store_clock import StoreClock
from tests.limits_links import FleetLink
from tests.limits_membership import FleetMembership

if typing.TYPE_CHECKING:
    from tests.limits_entry import Entry

HANDOVER_INTERVAL_S = 0.05


class EntryProcess:
    """Starts without any state and ends with all of it."""

    def __init__(self, entry: 'Entry') -> None:
        """Start a process of ``entry``."""
        self._entry = entry
        self._fleet = entry.fleet
        clock = self._fleet.clock
        # Unknown until the first reply of the store, which the process notes.
        self.store_clock = StoreClock(entry.host_clock)
        self.members = FleetMembership(entry)
        self.outage = CommonOutage(self.store_clock.now_ms, clock)
        lease = LeaseState(self.members, self.outage)
        self.owners = LimitOwners(
            entry.name,
            self.members.listed,
            self.store_clock,
            lease.is_current,
            clock,
        )
        self.counter = LimitCounter(self.owners, clock)
        self.counter.on_counted(self._send_copies)
        self.link = FleetLink(entry)
        self.handover = LimitHandover(
            self.owners, self.counter.holds, lease, self.link, clock
        )
        self.joins = JoinConfirmations(self.owners, lease, self.link, clock)
        if self._fleet.has_handover:
            self.counter.connect_handover(self.handover)
        self.watch = OutageWatch(
            entry.name,
            self.outage,
            self.members,
            self.members.names,
            self.store_clock,
            self.link.send_reports,
        )
        self._due = dict.fromkeys(('update', 'watch', 'handover'), clock.now)

    def run_due(self) -> None:
        """Run the periodic work that is due."""
        if self._is_due('update', UPDATE_INTERVAL_S):
            self.owners.update()
        if not self._fleet.has_handover:
            return
        if self._is_due('watch', WATCH_INTERVAL_S):
            self.watch.step()
        if self._is_due('handover', HANDOVER_INTERVAL_S):
            self.handover.run_due()
            self.joins.run_due()

    def renew(self) -> None:
        """Renew the row of this process and read the others."""
        has_handover = self._fleet.has_handover
        if self.members.reaches_store():
            self.store_clock.note(self._fleet.clock.monotonic() * MS_PER_S)
        self.members.step(has_handover and self.outage.holds())
        self.owners.update()
        if not self.members.unread_s():
            self.joins.list_read()

    def _is_due(self, work: str, interval_s: float) -> bool:
        now = self._fleet.clock.now
        if now < self._due[work]:
            return False
        self._due[work] = now + interval_s
        return True

    def _send_copies(self, copy: LimitCopy) -> None:
        """Send the remaining tokens to the other ranked entries."""
        for name in self.owners.ranked_entries(copy.name):
            other = self._fleet.by_name[name]
            if other is self._entry:
                continue
            self._fleet.messages += 1
            if self._entry.reaches(other):
                other.process.counter.store_copy(copy)
                admitted = other.process.counter.pop_uncharged(copy.name)
                self.counter.charge(copy.name, admitted)
