"""Confirmations with which an entry of a new fleet may count at once.

An entry that joins counts without a handover after 4.5 s, when all others must
have read its row or have lost their leases. After a restart of the whole fleet
nobody could count until then. An entry of a new fleet therefore announces
itself to all others, and counts when each of them has confirmed that it knows
it. Those that join after its read of the list find its row at their first one.
"""

from cactusridge.clock import Clock
from cactusridge.organisations.lease_state import LeaseState
from cactusridge.organisations.limit_handover import LimitHandover
from cactusridge.organisations.limit_messages import Candidate, JoinLink
from cactusridge.organisations.limit_owners import LimitOwners
from cactusridge.organisations.member_ages import COUNT_MS

# Seconds between two announcements to an entry that has not confirmed.
REPEAT_S = 0.1


class JoinConfirmations:
    """Announces this entry, and confirms the announcements of others."""

    def __init__(
        self,
        owners: LimitOwners,
        lease: LeaseState,
        handover: LimitHandover,
        link: JoinLink,
        clock: Clock,
    ) -> None:
        """Announce this entry through ``link``."""
        self._owners = owners
        self._lease = lease
        self._handover = handover
        self._link = link
        self._clock = clock
        # The membership that is announced, None if it need not be.
        self._joining: Candidate | None = None
        # The other members at the last read, and the names of those that have
        # confirmed this membership.
        self._others: frozenset[Candidate] = frozenset()
        self._confirmed_by: set[str] = set()
        self._announced_at = float('-inf')

    def list_read(self) -> None:
        """Determine who has to confirm; call this after each read.

        It sends nothing, since it must not switch greenlets. Only a read after
        the renewal that has stored this membership shows all entries whose
        first read may have missed it.
        """
        own = self._owners.own
        if own is None or not self._lease.is_renewed() or not self._is_new(own):
            self._joining = None
            return
        if own != self._joining:
            self._joining = own
            self._confirmed_by.clear()
            self._announced_at = float('-inf')
        self._others = self._owners.listed - {own}
        if not self._missing():
            self._owners.announced.note(own, counts=True)
            self._owners.update()

    def run_due(self) -> None:
        """Announce this entry to those that have not confirmed; call often."""
        own = self._joining
        now = self._clock.monotonic()
        if own is None or now - self._announced_at < REPEAT_S:
            return
        if own != self._owners.own or self._owners.announced.has_confirmed(own):
            return
        self._announced_at = now
        for name in self._missing():
            self._link.announce(name, own, counts=False)

    def receive(self, joining: Candidate, *, counts: bool) -> None:
        """Record the announcement of another entry, and confirm it.

        This entry no longer counts what the other one owns: it hands that over
        once the other one counts.
        """
        is_old = self._owners.now_ms() >= joining.since_ms + COUNT_MS
        if is_old or joining.name == self._owners.own_name:
            return
        self._owners.announced.note(joining, counts=counts)
        self._owners.update()
        if counts:
            self._handover.rebalance()
        else:
            self._link.confirm(joining)

    def receive_confirmation(self, entry: str, joining: Candidate) -> None:
        """Record that ``entry`` knows this entry as the member ``joining``."""
        if joining != self._joining or joining != self._owners.own:
            return
        self._confirmed_by.add(entry)
        has_confirmed = self._owners.announced.has_confirmed(joining)
        if has_confirmed or self._missing():
            return
        self._owners.announced.note(joining, counts=True)
        self._owners.update()
        for each in self._others:
            self._link.announce(each.name, joining, counts=True)

    def _is_new(self, own: Candidate) -> bool:
        """Return whether this entry is young and so is the whole fleet."""
        is_young = self._owners.now_ms() < own.since_ms + COUNT_MS
        return is_young and self._owners.ages.is_new(own)

    def _missing(self) -> list[str]:
        """Return the entries that have to confirm and have not yet."""
        awaited = self._others - self._owners.stopping
        names = {each.name for each in awaited}
        return sorted(names - self._confirmed_by)
