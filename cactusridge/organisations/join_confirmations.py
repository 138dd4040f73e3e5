"""Confirmations with which an entry may count at once.

An entry that joins counts without a handover after 4.5 s, when all others must
have read its row or have lost their leases. After a restart of the whole fleet
nobody could count until then, and a process that continues the membership of
an earlier one does not know what that one has handed over. Such an entry
announces itself to all others, and counts when each of them has confirmed that
it knows it. Those that join after its read of the list find its row at their
first one.
"""

import random
from collections.abc import Sequence

from cactusridge.clock import Clock
from cactusridge.organisations.lease_state import LeaseState
from cactusridge.organisations.limit_messages import Candidate, JoinLink
from cactusridge.organisations.limit_owners import LimitOwners
from cactusridge.organisations.member_ages import COUNT_MS, SETTLE_MS

# Seconds between two announcements to an entry that has not confirmed.
REPEAT_S = 0.1
# Entries of which one repetition checks whether they have exited.
MAX_CHECKS = 32


class JoinConfirmations:
    """Announces this entry, and confirms the announcements of others."""

    def __init__(
        self,
        owners: LimitOwners,
        lease: LeaseState,
        link: JoinLink,
        clock: Clock,
    ) -> None:
        """Announce this entry through ``link``."""
        self._owners = owners
        self._lease = lease
        self._link = link
        self._clock = clock
        # Whether this process has read the list as a member; until then it
        # may not count.
        self._has_joined = False
        owners.right.from_ms = float('inf')
        # The membership that is announced, None if it need not be.
        self._joining: Candidate | None = None
        # The names of the entries that have confirmed this membership, and of
        # those that have to and have not yet.
        self._confirmed_by: set[str] = set()
        self._awaited: set[str] = set()
        self._announced_at = float('-inf')
        self._rng = random.Random(owners.own_name)  # noqa: S311

    def list_read(self) -> None:
        """Determine who has to confirm; call this after each read.

        It sends nothing, since it must not switch greenlets. Only a read after
        the renewal that has stored this membership shows all entries whose
        first read may have missed it.
        """
        own = self._owners.own
        if own is None or not self._lease.is_renewed():
            return
        if not self._has_joined:
            self._has_joined = True
            self._owners.right.from_ms = (
                self._owners.store_clock.now_ms() + COUNT_MS
            )
            self._owners.update()
        if not self._must_announce(own):
            self._joining = None
            return
        if own != self._joining:
            self._joining = own
            self._confirmed_by.clear()
            self._announced_at = float('-inf')
        others = self._owners.listed - self._owners.stopping - {own}
        names = {each.name for each in others}
        self._awaited = names - self._confirmed_by
        if not self._awaited:
            self._count()

    @property
    def is_awaited(self) -> bool:
        """Whether others have to confirm that they know this entry."""
        own = self._joining
        if own is None or own != self._owners.own:
            return False
        return not self._owners.announced.has_confirmed(own)

    def run_due(self) -> None:
        """Announce this entry to those that have not confirmed; call often."""
        own = self._joining
        now = self._clock.monotonic()
        is_due = now - self._announced_at >= REPEAT_S
        if own is None or not (is_due and self.is_awaited):
            return
        is_repeated = self._announced_at > float('-inf')
        self._announced_at = now
        for name in tuple(self._awaited):
            self._link.announce(name, own, counts=False)
        # Not the earlier process of an entry that has started again.
        stopped = self._owners.stopping & self._owners.listed
        known = [each.name for each in stopped]
        if is_repeated:
            known += self._exited()
        if known:
            self._note_known(own, known)

    def receive(self, joining: Candidate, *, counts: bool) -> None:
        """Record the announcement of another entry, and confirm it.

        This entry no longer counts what the other one owns: it hands that over
        once the other one counts.
        """
        if (
            joining.name == self._owners.own_name
            or not self._owners.store_clock.is_known
        ):
            return
        if not self._owners.announced.has(joining):
            # An earlier process at its address has confirmed, if any.
            self._confirmed_by.discard(joining.name)
            self._awaited.add(joining.name)
        now_ms = self._owners.store_clock.now_ms()
        self._owners.announced.note(joining, now_ms, counts=counts)
        self._update_for(joining)
        if counts:
            return
        own = self._owners.own
        counts_itself = self._owners.announced.has_confirmed(own)
        self._link.confirm(joining, own, counts=counts_itself)

    def receive_confirmation(
        self, name: str, joining: Candidate, counting: Candidate | None
    ) -> None:
        """Record that the entry ``name`` knows the member ``joining``.

        If that entry was confirmed itself, it is the member ``counting``. By
        its age this entry may not expect that it counts.
        """
        if not self._owners.store_clock.is_known:
            return
        if counting is not None:
            now_ms = self._owners.store_clock.now_ms()
            self._owners.announced.note(counting, now_ms, counts=True)
            self._update_for(counting)
        self._note_known(joining, [name])

    def _exited(self) -> list[str]:
        """Return awaited entries whose processes have exited.

        One that starts at the same address finds this entry in the list, and
        awaits its confirmation.
        """
        count = min(len(self._awaited), MAX_CHECKS)
        return self._link.exited(self._rng.sample(sorted(self._awaited), count))

    def _update_for(self, joining: Candidate) -> None:
        """Rank ``joining``, unless this entry expects already that it counts.

        After a restart of a large fleet nearly all announcements are of such
        entries, and an update walks all members. The next periodic one hands
        counts over to them.
        """
        if joining not in self._owners.counting.members:
            self._owners.update()

    def _note_known(self, joining: Candidate, names: Sequence[str]) -> None:
        """Record entries that know this one or count nothing any more."""
        if joining != self._joining or joining != self._owners.own:
            return
        self._confirmed_by.update(names)
        self._awaited.difference_update(names)
        if self._awaited or not self.is_awaited:
            return
        self._count()
        for each in self._owners.listed - {joining}:
            self._link.announce(each.name, joining, counts=True)

    def _count(self) -> None:
        """Let this entry count, since all others know it."""
        own = self._owners.own
        if own is not None:
            now_ms = self._owners.store_clock.now_ms()
            self._owners.announced.note(own, now_ms, counts=True)
            self._owners.update()

    def _must_announce(self, own: Candidate) -> bool:
        """Return whether others have to confirm before this entry counts.

        An entry that joins a fleet with older members does without: it gets
        counts handed over when it has been a member for some seconds. Those
        that are stopping count nothing any more.
        """
        now_ms = self._owners.store_clock.now_ms()
        if now_ms >= own.since_ms + COUNT_MS:
            return now_ms < self._owners.right.from_ms
        staying = self._owners.listed - self._owners.stopping
        oldest_ms = min((each.since_ms for each in staying), default=0)
        return own.since_ms <= oldest_ms + SETTLE_MS
