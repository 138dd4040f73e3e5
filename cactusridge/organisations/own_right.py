"""Whether an entry may count limits that nobody has handed over to it."""

from cactusridge import events, logs
from cactusridge.organisations.limit_messages import Candidate
from cactusridge.organisations.member_ages import MemberAges, SettledMembers

MS_PER_S = 1000


class OwnRight:
    """The right of one entry to start counting by the membership list.

    The lease and the ranking are not part of it.
    """

    def __init__(self) -> None:
        """Start without the right."""
        self.holds = False

    def update(
        self,
        own: Candidate | None,
        ages: MemberAges,
        settled: SettledMembers,
        now_ms: float,
    ) -> None:
        """Recompute the right from the members known at ``now_ms``."""
        holds = own in settled.counting
        if holds == self.holds:
            return
        self.holds = holds
        member_ms = 0 if own is None else now_ms - own.since_ms
        logs.emit(
            events.LIMITS_RIGHT_CHANGED,
            counting=holds,
            member_s=round(member_ms / MS_PER_S, 3),
            members=len(ages.members),
            rivals=len(settled.others - {own}),
        )
