"""The counts that one entry holds, and those that it has handed over."""

from collections.abc import Iterator
from typing import NamedTuple

from cactusridge.organisations.limit_count import LimitCount
from cactusridge.organisations.limit_messages import Candidate, Ceder
from cactusridge.organisations.limit_owners import LimitOwners
from cactusridge.organisations.ranking import is_outranked

# Milliseconds for which an entry does not count an organisation in its own
# right after it has handed it over to one ranked after it.
CESSION_MS = 10_000
# Milliseconds by which store clocks of two entries may differ.
CLOCK_MARGIN_MS = 1000


class Hold(NamedTuple):
    """The right to count an organisation, with its counts.

    It ends when this entry's membership begins anew, so it has the
    ``since_ms`` of the one in which it began. ``ceders`` are ranked before
    this entry but have handed over the organisation.
    """

    count: LimitCount
    since_ms: int
    ceders: tuple[Ceder, ...] = ()

    def ceders_at(self, now_ms: float) -> frozenset[Candidate]:
        """Return the entries that do not yet count in their own right."""
        return frozenset(
            each.entry for each in self.ceders if each.until_ms > now_ms
        )


class Cession(NamedTuple):
    """A handover that keeps this entry from counting until ``until_ms``.

    ``upward`` is set if the receiver is ranked before this entry. It then
    counts until it is no longer listed.
    """

    receiver: Candidate
    until_ms: float
    upward: bool


class LimitHolds:
    """Which organisations this entry may count, by its own actions.

    An organisation is held or handed over, or neither.
    """

    def __init__(self, owners: LimitOwners) -> None:
        """Start without any; ``owners`` tells who may count by the list."""
        self._owners = owners
        self._holds: dict[str, Hold] = {}
        self._cessions: dict[str, Cession] = {}

    def usable(self, name: str) -> LimitCount | None:
        """Return the count of an organisation if this entry may count it."""
        hold = self._holds.get(name)
        own = self._owners.own
        if hold is None or own is None or hold.since_ms != own.since_ms:
            return None
        ceders = hold.ceders_at(self._owners.store_clock.now_ms())
        may_count = self._owners.may_continue(name, ceders)
        return hold.count if may_count else None

    def get(self, name: str) -> Hold | None:
        """Return what is held of an organisation, usable or not."""
        return self._holds.get(name)

    def names(self) -> Iterator[str]:
        """Return the names of the organisations that are held."""
        return iter(tuple(self._holds))

    def hold(
        self, name: str, count: LimitCount, ceders: tuple[Ceder, ...] = ()
    ) -> None:
        """Hold an organisation from now on."""
        own = self._owners.own
        if own is not None:
            self._cessions.pop(name, None)
            self._holds[name] = Hold(count, own.since_ms, ceders)

    def drop(self, name: str) -> None:
        """Forget the counts of an organisation."""
        self._holds.pop(name, None)

    def cede(self, name: str, receiver: Candidate, until_ms: int) -> None:
        """Stop counting an organisation in favour of ``receiver``."""
        self._holds.pop(name, None)
        upward = is_outranked(name, self._owners.own_name, receiver)
        self._cessions[name] = Cession(receiver, until_ms, upward)

    def pass_over(self, name: str, sender: Candidate, until_ms: int) -> None:
        """Do not count an organisation that ``sender`` has offered."""
        self._holds.pop(name, None)
        self._cessions[name] = Cession(sender, until_ms, upward=False)

    def ceded_to(self, name: str) -> Candidate | None:
        """Return the entry that an organisation was handed over to.

        None once this entry may count it again.
        """
        cession = self._cessions.get(name)
        if cession is None:
            return None
        is_over = (
            self._owners.store_clock.now_ms()
            > cession.until_ms + CLOCK_MARGIN_MS
        )
        receiver_left = not self._owners.is_possible_owner(cession.receiver)
        if is_over or (cession.upward and receiver_left):
            self._cessions.pop(name)
            return None
        return cession.receiver
