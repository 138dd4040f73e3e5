"""Whether an entry may count limits that nobody has handed over to it."""

from cactusridge import events, logs
from cactusridge.organisations.limit_messages import Candidate
from cactusridge.organisations.member_ages import SettledMembers

MS_PER_S = 1000


class OwnRight:
    """The right of one entry to start counting by the membership list.

    The lease and the ranking are not part of it. Before ``from_ms`` of the
    store's clock the age of the membership does not suffice: this process may
    have continued that of another one, whose handovers it does not know.
    """

    def __init__(self) -> None:
        """Start without the right."""
        self.holds = False
        self.from_ms = float('-inf')

    def next_change_ms(self, now_ms: float) -> float:
        """Return when the age of the membership begins to suffice."""
        return self.from_ms if self.from_ms > now_ms else float('inf')

    def update(
        self,
        own: Candidate | None,
        members: int,
        settled: SettledMembers,
        now_ms: float,
    ) -> None:
        """Recompute the right when ``members`` are known at ``now_ms``.

        An entry that all others know is in ``settled.confirmed``.
        """
        holds = own in settled.confirmed or (
            own in settled.counting and now_ms >= self.from_ms
        )
        if holds == self.holds:
            return
        self.holds = holds
        member_ms = 0 if own is None else now_ms - own.since_ms
        logs.emit(
            events.LIMITS_RIGHT_CHANGED,
            counting=holds,
            member_s=round(member_ms / MS_PER_S, 3),
            members=members,
            rivals=len(settled.others - {own}),
        )
