"""Assignment of organisations to the entries that count their requests.

Each organisation has one owner among the entries, chosen by rendezvous
hashing, so that its rate limit is counted in one place without an election
or stored state. Two entries must not count the same organisation at the
full rate. Therefore a new entry becomes an owner only after all other
entries have read it from the membership list, and an entry that cannot
renew its own row does not count any organisation.
"""

from collections.abc import Callable, Collection, Sequence

from cactusridge.clock import Clock
from cactusridge.organisations.announced_members import AnnouncedMembers
from cactusridge.organisations.limit_messages import Candidate
from cactusridge.organisations.member_ages import MemberAges, SettledMembers
from cactusridge.organisations.own_right import OwnRight
from cactusridge.organisations.ranking import Ranking
from cactusridge.store.store_clock import StoreClock

# Seconds between two updates of the set of entries that may be owners.
UPDATE_INTERVAL_S = 0.5
# Number of ranked entries per organisation: the owner and the backup owners,
# which receive requests in turn when the owner does not respond.
MAX_RANKED = 3


class LimitOwners:
    """Owners and backup owners of organisations, as seen by one entry.

    ``changes`` counts how often the set of possible owners has changed, and
    ``revision`` any change of who may count or receive counts.
    """

    def __init__(
        self,
        own_name: str,
        listed: Callable[[], Sequence[Candidate]],
        store_clock: StoreClock,
        is_current: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Rank the entries that ``listed`` returns.

        ``is_current`` returns whether this entry has recently read the
        membership list and renewed its own row, or may count without.
        """
        self.changes = 0
        self.revision = 0
        self.own: Candidate | None = None
        self.listed: frozenset[Candidate] = frozenset()
        # Until the store's time is known, nothing is decided here, and no
        # message is accepted whose validity depends on it.
        self.store_clock = store_clock
        self.is_current = is_current
        self.own_name = own_name
        self._read_listed = listed
        self._clock = clock
        self._owners_changed_at = clock.monotonic()
        # Whether this entry has stopped counting for good, in any membership.
        self.has_stopped = False
        # Entries that have stopped counting, and those that the list may not
        # show yet.
        self.stopping: frozenset[Candidate] = frozenset()
        self.announced = AnnouncedMembers()
        self._next_change_ms = float('inf')
        self.ages = MemberAges(())
        self.right = OwnRight()
        # What the rankings were last computed from.
        self._basis: tuple[object, ...] = ()
        # Entries that may be owners, the ones before the last change, and
        # those that may be counting in their own right.
        self._eligible = Ranking(())
        self._previous = Ranking(())
        self.counting = Ranking(())
        # Entries that counts may be handed over to.
        self._receivers = Ranking(())

    @property
    def has_own_right(self) -> bool:
        """Whether this entry may be an owner without a handover."""
        return self.right.holds

    def ranked_entries(self, organisation: str) -> list[str]:
        """Return the owner of an organisation, then its backup owners.

        The list holds up to MAX_RANKED peer addresses and is empty while
        no entry may be an owner.
        """
        if not self._eligible.members:
            self.update()
        ranked = self._eligible.of(organisation)[:MAX_RANKED]
        return [each.name for each in ranked]

    def owned_s(self, organisation: str) -> float | None:
        """Return how many seconds this entry has certainly been the owner.

        Returns None if this entry is not the owner or may not count now.
        """
        self.update_if_due()
        if self.ranked_entries(organisation)[:1] != [self.own_name]:
            return None
        if not (self.has_own_right and self.is_current()):
            return None
        return self._clock.monotonic() - self._owners_changed_at

    def may_start_early(self, organisation: str) -> bool:
        """Return whether only the next entry can have counts.

        This entry does not yet count in its own right, but no other can
        become the owner.
        """
        self.update_if_due()
        first = self.receiver(organisation)
        is_first = first == self.own == self.first(organisation)
        return first is not None and is_first and self.is_current()

    def may_continue(
        self, organisation: str, ceders: Collection[Candidate]
    ) -> bool:
        """Return whether this entry may count on what it has counts of.

        That holds until another entry may count in its own right, other than
        ``ceders``, which have handed over the counts.
        """
        if not self.is_current() or self.own is None:
            return False
        self.update_if_due()
        for each in self.counting.of(organisation):
            if each not in ceders:
                return each == self.own
        return False

    def receiver(
        self, organisation: str, excluded: Collection[Candidate] = ()
    ) -> Candidate | None:
        """Return the entry that should have the counts of an organisation.

        It is the first one apart from ``excluded`` that counts may be handed
        over to, None if there is none.
        """
        for each in self._receivers.of(organisation):
            if each not in excluded:
                return each
        return None

    def predecessor(self, organisation: str) -> Candidate | None:
        """Return the entry that may have counts of an organisation.

        It is the first one before the last change, or the next one if this
        entry was first then. None if nobody can have any.
        """
        before = self._previous.of(organisation)[:1]
        after = self._eligible.of(organisation)[:2]
        for each in (*before, *after):
            if each != self.own:
                return None if each in self.stopping else each
        return None

    def first(self, organisation: str) -> Candidate | None:
        """Return the owner of an organisation, None while there is none."""
        return next(iter(self._eligible.of(organisation)), None)

    def after_own(self, organisation: str) -> Candidate | None:
        """Return the first possible owner other than this entry."""
        ranked = self._eligible.of(organisation)[:2]
        return next((each for each in ranked if each != self.own), None)

    def is_ranked(self, organisation: str) -> bool:
        """Return whether this entry is the owner or a backup owner."""
        return self.own_name in self.ranked_entries(organisation)

    def is_before(self, organisation: str, entry: Candidate) -> bool:
        """Return whether ``entry`` is to have counts before this one."""
        for each in self._receivers.of(organisation):
            if each in {entry, self.own}:
                return each == entry
        return False

    def is_possible_owner(self, entry: Candidate) -> bool:
        """Return whether an entry may be an owner."""
        return entry in self._eligible.members

    def note_stopping(self, entry: Candidate) -> None:
        """Rank ``entry`` no longer: it has stopped counting for good."""
        if entry not in self.stopping:
            self.stopping |= {entry}
            self.update()

    def stop(self) -> None:
        """Rank this entry no longer, in any membership."""
        self.has_stopped = True
        self.update()

    def update(self) -> None:
        """Update the possible owners and whether this entry may count."""
        if not self.store_clock.is_known:
            return
        before = (self.own, self._eligible, self.counting, self._receivers)
        now_ms = self.store_clock.now_ms()
        self._update_listed(now_ms)
        self._next_change_ms = min(
            self.ages.next_change_ms(now_ms), self.right.next_change_ms(now_ms)
        )
        settled = self.announced.added_to_settled(self.ages.settled_at(now_ms))
        basis = (self.own, self.stopping, settled)
        if basis != self._basis:
            self._basis = basis
            self._rank(settled)
        self.right.update(self.own, len(self.listed), settled, now_ms)
        after = (self.own, self._eligible, self.counting, self._receivers)
        if before != after:
            self.revision += 1

    def update_if_due(self) -> None:
        """Update if a member has been listed for long enough by now."""
        clock = self.store_clock
        if clock.is_known and clock.now_ms() >= self._next_change_ms:
            self.update()

    def _update_listed(self, now_ms: float) -> None:
        """Update the listed entries, this one and those that are stopping."""
        listed = self.announced.added_to(self._read_listed(), now_ms)
        if listed != self.ages.listed:
            self.ages = MemberAges(listed)
            self.listed = self.ages.members
            self.own = next(
                (each for each in listed if each.name == self.own_name), None
            )
        if self.stopping:
            self.stopping &= self.listed | self._previous.members
        if self.has_stopped and self.own is not None:
            self.stopping |= {self.own}

    def _rank(self, settled: SettledMembers) -> None:
        """Rank the members that have been listed for long enough."""
        self._set_eligible(settled.eligible)
        own = frozenset({self.own} if self.own else ())
        counting = (settled.others | own) - self.stopping
        self.counting = self.counting.updated(counting)
        receivers = settled.receivers - self.stopping
        if self.has_stopped and not receivers:
            # A young entry that others may not know is better than none.
            receivers = self.listed - self.stopping
        self._receivers = self._receivers.updated(receivers)

    def _set_eligible(self, settled: frozenset[Candidate]) -> None:
        staying = self.listed - self.stopping
        eligible = (settled - self.stopping) or staying
        if eligible == self._eligible.members:
            return
        self._previous = self._eligible
        self._eligible = Ranking(eligible)
        self._owners_changed_at = self._clock.monotonic()
        self.changes += 1
