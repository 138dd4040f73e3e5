"""Entries that have announced themselves to this one.

The membership list that this entry read last may not show them yet.
"""

from collections.abc import Sequence
from typing import NamedTuple

from cactusridge.organisations.limit_messages import Candidate
from cactusridge.organisations.member_ages import COUNT_MS, SettledMembers


class Announcement(NamedTuple):
    """An entry, and whether it may count without a handover by now."""

    entry: Candidate
    counts: bool


class AnnouncedMembers:
    """The announced entries that are too young to count by their age.

    This entry is one of them once all others have confirmed that they know
    it.
    """

    def __init__(self) -> None:
        """Start without announcements."""
        self._by_name: dict[str, Announcement] = {}

    def note(self, entry: Candidate, *, counts: bool) -> None:
        """Record an announcement, unless a later one is known."""
        known = self._by_name.get(entry.name)
        if known is not None:
            if known.entry.since_ms > entry.since_ms:
                return
            counts |= known == Announcement(entry, counts=True)
        self._by_name[entry.name] = Announcement(entry, counts)

    def has_confirmed(self, entry: Candidate | None) -> bool:
        """Return whether ``entry`` may count although it is young."""
        if entry is None:
            return False
        return self._by_name.get(entry.name) == Announcement(entry, counts=True)

    def added_to(
        self, listed: Sequence[Candidate], now_ms: float
    ) -> tuple[Candidate, ...]:
        """Return ``listed`` with the announced entries at ``now_ms``.

        An announcement is forgotten when its entry counts by its age, or when
        the list shows a later membership of that entry.
        """
        if not self._by_name:
            return tuple(listed)
        by_name = {each.name: each for each in listed}
        for name, known in tuple(self._by_name.items()):
            found = by_name.get(name, known.entry)
            is_old = now_ms >= known.entry.since_ms + COUNT_MS
            if is_old or found.since_ms > known.entry.since_ms:
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
            settled.counting | confirmed,
            settled.others | known,
            settled.receivers | confirmed,
        )
