"""Assignment of organisations to the entries that count their requests.

Each organisation has one owner among the entries, chosen by rendezvous
hashing, so that its rate limit is counted in one place without an election
or stored state. Two entries must not count the same organisation at the
full rate. Therefore a new entry becomes an owner only after all other
entries have read it from the membership list, and an entry that cannot
renew its own row does not count any organisation.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.hashing import hash64, rendezvous

MS_PER_S = 1000
# Seconds between two updates of the set of entries that may be owners.
UPDATE_INTERVAL_S = 0.5
# Milliseconds of uninterrupted membership before an entry may be an owner.
SETTLE_MS = 3000
# Further milliseconds before a new owner counts requests. The other entries
# read the membership list every second and must have seen the change.
PEER_READ_MS = 1500
# Number of ranked entries per organisation: the owner and the backup owners,
# which receive requests in turn when the owner does not respond.
MAX_RANKED = 3


class Candidate(NamedTuple):
    """A live entry of the membership list.

    ``name`` is its peer address. ``since_ms`` is the store time, in
    milliseconds, since which it has been a member without interruption.
    """

    name: str
    since_ms: int


class LimitOwners:
    """Owners and backup owners of organisations, as seen by one entry.

    ``changes`` counts how often the set of possible owners has changed.
    """

    def __init__(
        self,
        own_name: str,
        listed: Callable[[], Sequence[Candidate]],
        now_ms: Callable[[], float],
        is_current: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Rank the entries that ``listed`` returns.

        ``now_ms`` returns the store time in milliseconds. ``is_current``
        returns whether this entry has recently read the membership list
        and renewed its own row.
        """
        self.changes = 0
        self._own_name = own_name
        self._listed = listed
        self._now_ms = now_ms
        self._is_current = is_current
        self._clock = clock
        self._eligible: frozenset[str] = frozenset()
        self._owners_changed_at = clock.monotonic()
        self._may_count = False
        # Ranked entries of the organisations queried since the last change.
        self._ranked: dict[str, list[str]] = {}

    def ranked_entries(self, organisation: str) -> list[str]:
        """Return the owner of an organisation, then its backup owners.

        The list holds up to MAX_RANKED peer addresses and is empty while
        no entry may be an owner.
        """
        if not self._eligible:
            self.update()
        found = self._ranked.get(organisation)
        if found is None:
            found = rendezvous(self._eligible, hash64(organisation))[
                :MAX_RANKED
            ]
            self._ranked[organisation] = found
        return found

    def owned_s(self, organisation: str) -> float | None:
        """Return how many seconds this entry has certainly been the owner.

        Returns None if this entry is not the owner or may not count now.
        """
        if self.ranked_entries(organisation)[:1] != [self._own_name]:
            return None
        if not (self._may_count and self._is_current()):
            return None
        return self._clock.monotonic() - self._owners_changed_at

    def is_backup(self, organisation: str) -> bool:
        """Return whether this entry is a backup owner of an organisation."""
        return self._own_name in self.ranked_entries(organisation)[1:]

    def update(self) -> None:
        """Update the possible owners and whether this entry may count."""
        listed = self._listed()
        settled_ms = _settled_ms(listed, self._now_ms() - SETTLE_MS)
        eligible = frozenset(
            each.name for each in listed if each.since_ms <= settled_ms
        )
        if eligible != self._eligible:
            self._eligible = eligible
            self._ranked = {}
            self._owners_changed_at = self._clock.monotonic()
            self.changes += 1
        counts_ms = _settled_ms(
            listed, self._now_ms() - SETTLE_MS - PEER_READ_MS
        )
        self._may_count = any(
            each.name == self._own_name and each.since_ms <= counts_ms
            for each in listed
        )


def _settled_ms(listed: Sequence[Candidate], at_ms: float) -> float:
    """Return the latest membership start that counts as settled, in ms.

    The result is ``at_ms``, or SETTLE_MS after the oldest member's start if
    that is later. Members that start together with the oldest one need not
    wait: after a restart of the whole fleet no earlier owner is left that
    could still be counting.
    """
    first_ms = min((each.since_ms for each in listed), default=0)
    return max(at_ms, first_ms + SETTLE_MS)
