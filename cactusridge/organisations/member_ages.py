"""How long an entry must have been a member before it counts limits."""

import bisect
from collections.abc import Sequence
from typing import NamedTuple

from cactusridge.organisations.limit_messages import Candidate

# Milliseconds of uninterrupted membership before an entry may be an owner.
SETTLE_MS = 3000
# Further milliseconds before a new owner counts requests in its own right. The
# other entries read the membership list every second and must have seen the
# change.
PEER_READ_MS = 1500
# Milliseconds before that at which the previous owner stops, if it has not
# handed over its counts until then: a margin for the clocks.
STOP_MARGIN_MS = 500
# Milliseconds of membership after which the previous owner hands over its
# counts. All entries that send requests must have seen the change, or one of
# them could ask a backup owner to count for an owner that has exited.
CEDE_MS = 3600
# Milliseconds of membership after which an entry counts in its own right, and
# after which the others expect that it does.
COUNT_MS = SETTLE_MS + PEER_READ_MS
RIVAL_MS = COUNT_MS - STOP_MARGIN_MS
# Milliseconds of membership at which a member enters a set of SettledMembers.
WAITS_MS = (SETTLE_MS, CEDE_MS, RIVAL_MS, COUNT_MS)
# Largest number of cached sets: twice the number of waits.
KEPT_SETS = 8


class SettledMembers(NamedTuple):
    """The members that have been listed for long enough for each purpose.

    ``eligible`` may be owners, ``counting`` count in their own right,
    ``others`` may do so by their own clocks, and ``receivers`` get counts
    handed over. ``confirmed`` count whatever their age.
    """

    eligible: frozenset[Candidate]
    counting: frozenset[Candidate]
    others: frozenset[Candidate]
    receivers: frozenset[Candidate]
    confirmed: frozenset[Candidate] = frozenset()


class MemberAges:
    """The listed members in the order in which they joined.

    While a fleet starts, another member has been listed for long enough many
    times a second. Each time costs some binary searches, not a look at all
    members.
    """

    def __init__(self, listed: Sequence[Candidate]) -> None:
        """Sort the members ``listed``."""
        self.listed = tuple(listed)
        self.members = frozenset(self.listed)
        self._ordered = sorted(self.listed, key=_since_ms)
        self._since = [each.since_ms for each in self._ordered]
        self._sets: dict[int, frozenset[Candidate]] = {}

    def settled_at(self, now_ms: float) -> SettledMembers:
        """Return the members that are settled for each purpose at ``now_ms``.

        In a new fleet all members are eligible, and each may count as soon as
        all others have confirmed that they know it. Every member therefore
        expects that the others of a new fleet do. The sets are cached, since
        most calls find no change.
        """
        new_until_ms = self._new_until_ms()
        return SettledMembers(
            self._listed_since(max(now_ms - SETTLE_MS, new_until_ms)),
            self._listed_since(now_ms - COUNT_MS),
            self._listed_since(max(now_ms - RIVAL_MS, new_until_ms)),
            self._listed_since(now_ms - CEDE_MS),
        )

    def next_change_ms(self, now_ms: float) -> float:
        """Return when another member will have been listed for long enough."""
        next_ms = float('inf')
        for wait_ms in WAITS_MS:
            later = bisect.bisect_right(self._since, now_ms - wait_ms)
            if later < len(self._since):
                next_ms = min(next_ms, self._since[later] + wait_ms)
        return next_ms

    def _new_until_ms(self) -> int:
        """Return until when members joined that belong to a new fleet."""
        return self._since[0] + SETTLE_MS if self._since else 0

    def _listed_since(self, at_ms: float) -> frozenset[Candidate]:
        """Return the members that have been listed since ``at_ms``."""
        count = bisect.bisect_right(self._since, at_ms)
        if count not in self._sets:
            if len(self._sets) >= KEPT_SETS:
                self._sets.clear()
            self._sets[count] = frozenset(self._ordered[:count])
        return self._sets[count]


def _since_ms(member: Candidate) -> int:
    return member.since_ms
