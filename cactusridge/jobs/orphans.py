"""Detects jobs whose holder is dead and chooses the entry to take over."""

import math
from typing import NamedTuple

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError
from cactusridge.hashing import hash64, is_among_first, rendezvous
from cactusridge.jobs.member import Member
from cactusridge.jobs.membership import Membership
from cactusridge.jobs.model import JobHead, JobState
from cactusridge.start_trace import TRACE, StartStep
from cactusridge.store.unreadable import UnreadableRecord

# Delay in seconds per rank before an entry takes over an orphaned job: the
# time for the entry before it to write the new holder and for that write to
# reach the other entries.
RANK_DELAY_S = 0.4
# Pause in seconds before another attempt to take over a job with unreadable
# rows. Without it the entry of the first rank would retry at every poll, four
# times a second.
UNREADABLE_PAUSE_S = 5.0


class Orphan(NamedTuple):
    """When a job was first seen without a holder, and when it was to be taken.

    Both are in seconds of the monotonic clock. ``since`` is in the future while
    takeovers pause, after a row of the job was unreadable. ``due_at`` is None
    until this entry has to take the job over.
    """

    since: float
    due_at: float | None = None


class Orphans:
    """Decides when this entry takes over an orphaned job."""

    def __init__(self, session: Membership, clock: Clock) -> None:
        """Read the live entries from ``session``."""
        self._session = session
        self._clock = clock
        self._orphans: dict[str, Orphan] = {}
        self._members: tuple[Member, ...] = ()
        self._names: frozenset[str] = frozenset()

    def is_mine(self, head: JobHead) -> bool:
        """Return whether the holder is this incarnation of this entry."""
        me = self._session.me
        return head.holder == me.name and head.life == me.life

    def should_take_over(self, head: JobHead) -> bool:
        """Return whether this entry has to take over a job now.

        The caller makes sure that this entry does not run the job. If the
        head still names this entry as holder, the entry failed to start
        the job after accepting it or taking it over, and the job counts
        as orphaned.
        """
        if head.state != JobState.open or not self._is_orphan(head):
            self._orphans.pop(head.id, None)
            return False
        now = self._clock.monotonic()
        orphan = self._orphans.setdefault(head.id, Orphan(now))
        is_due = self._is_due(head, now - orphan.since)
        if is_due:
            self._orphans[head.id] = orphan._replace(due_at=now)
        return is_due

    def taken_over(self, head: JobHead, version: int) -> None:
        """Log a takeover, with the parts of the time since the loss.

        ``head`` names the previous holder; ``version`` is the new head's.
        """
        TRACE.mark(StartStep.takeover)
        now = self._clock.monotonic()
        orphan = self._orphans.pop(head.id, Orphan(now))
        silent_s = self._session.silent_s(head.holder)
        logs.emit(
            events.JOB_TAKEN,
            job=head.id,
            previous=head.holder,
            version=version,
            silent_s=None if silent_s is None else round(silent_s, 3),
            orphaned_s=round(now - orphan.since, 3),
            rank=self.rank(head),
            write_s=round(now - (orphan.due_at or now), 3),
        )

    def takeover_failed(self, head: JobHead, exc: CactusridgeError) -> None:
        """Log a failed takeover of a job.

        If rows of the job are unreadable, the next attempt is delayed,
        since each attempt costs some reads and fails until the rows are
        repaired.
        """
        logs.emit(events.TAKE_FAILED, job=head.id, error=str(exc))
        if isinstance(exc, UnreadableRecord):
            self._orphans[head.id] = Orphan(
                self._clock.monotonic() + UNREADABLE_PAUSE_S
            )

    def rank(self, head: JobHead) -> int:
        """Return this entry's rank for a job among the live entries, from 0.

        A holder that has started again is the first: it takes its jobs at
        once, and the others do not read them at the same time.
        """
        live = [member.name for member in self._session.members()]
        ranked = rendezvous(live, hash64(head.id))
        if head.holder in ranked:
            ranked.remove(head.holder)
            ranked.insert(0, head.holder)
        return ranked.index(self._session.me.name)

    def _is_due(self, head: JobHead, orphaned_s: float) -> bool:
        """Return whether the delay for this entry's rank has passed.

        It compares this entry with the others until enough come before it.
        The whole rank of each orphaned job at each poll would take most of an
        entry's time after a restart of a large fleet.
        """
        due_ranks = math.floor(orphaned_s / RANK_DELAY_S) + 1
        own = self._session.me.name
        if due_ranks < 1:
            return False
        if head.holder == own:
            return True
        names = self._live_names()
        if head.holder in names:
            names -= {head.holder}
            due_ranks -= 1
        return is_among_first(due_ranks, own, names, hash64(head.id))

    def _live_names(self) -> frozenset[str]:
        members = self._session.members()
        if members is not self._members:
            self._members = members
            self._names = frozenset(member.name for member in members)
        return self._names

    def _is_orphan(self, head: JobHead) -> bool:
        if self.is_mine(head) or not head.holder:
            return True
        return not self._session.is_live(head.holder, head.life)
