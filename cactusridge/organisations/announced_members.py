"""Entries that have announced themselves to this one.

The membership list that this entry read last may not show them yet.
"""

from collections.abc import Sequence
from typing import NamedTuple

from cactusridge.organisations.limit_messages import Candidate
from cactusridge.organisations.member_ages import COUNT_MS, SettledMembers


class Announcement(NamedTuple):
    """An entry, and whether it may count without a handover by now.

    From ``until_ms`` of the store's clock on the list shows it.
    """

    entry: Candidate
    counts: bool
    until_ms: float


class AnnouncedMembers:
    """The entries that were announced some seconds ago.

    This entry is one of them once all others have confirmed that they know
    it.
    """

    def __init__(self) -> None:
        """Start without announcements."""
        self._by_name: dict[str, Announcement] = {}

    def note(self, entry: Candidate, now_ms: float, *, counts: bool) -> None:
        """Record an announcement, unless a later one is known."""
        known = self._by_name.get(entry.name)
        if known is not None:
            if known.entry.since_ms > entry.since_ms:
                return
            counts |= known.counts and known.entry == entry
        until_ms = now_ms + COUNT_MS
        self._by_name[entry.name] = Announcement(entry, counts, until_ms)

    def has(self, entry: Candidate) -> bool:
        """Return whether ``entry`` was announced."""
        known = self._by_name.get(entry.name)
        return known is not None and known.entry == entry

    def has_confirmed(self, entry: Candidate | None) -> bool:
        """Return whether all others have confirmed that they know ``entry``."""
        if entry is None or not self.has(entry):
            return False
        return self._by_name[entry.name].counts

    def added_to(
        self, listed: Sequence[Candidate], now_ms: float
    ) -> tuple[Candidate, ...]:
        """Return ``listed`` with the announced entries at ``now_ms``.

        An announcement is forgotten after some seconds, or when the list shows
        a later membership of its entry.
        """
        if not self._by_name:
            return tuple(listed)
        by_name = {each.name: each for each in listed}
        for name, known in tuple(self._by_name.items()):
            found = by_name.get(name, known.entry)
            is_later = found.since_ms > known.entry.since_ms
            if is_later or now_ms >= known.until_ms:
                self._by_name.pop(name)
            else:
                by_name[name] = known.entry
        return tuple(by_name.values())

    def added_to_settled(self, settled: SettledMembers) -> SettledMembers:
        """Return ``settled`` with the announced entries."""
        if not self._by_name:
            return settled
        known = frozenset(each.entry for each in self._by_name.values())
        confirmed = frozenset(
            each.entry for each in self._by_name.values() if each.counts
        )
        return SettledMembers(
            settled.eligible | known,
            settled.counting,
            settled.others | known,
            settled.receivers | confirmed,
            confirmed,
        )
