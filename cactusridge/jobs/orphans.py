"""Jobs without a living holder, and whose turn it is to take them."""

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError
from cactusridge.hashing import hash64, rendezvous
from cactusridge.jobs.model import JobHead, JobState
from cactusridge.jobs.session import Session
from cactusridge.store.unreadable import UnreadableRecord

# The entry that ranks first for a job takes it at once; each next one
# waits this much longer, a write and its news at the others.
RANK_DELAY_S = 0.4
# A job whose rows cannot be read is tried again after this long, in
# seconds: without a pause, each look of the entry that ranks first, four
# a second.
UNREADABLE_PAUSE_S = 5.0


class Orphans:
    """Says when this entry should take a job over."""

    def __init__(self, session: Session, clock: Clock) -> None:
        """Judge by what ``session`` knows of the entries."""
        self._session = session
        self._clock = clock
        self._since: dict[str, float] = {}

    def is_mine(self, head: JobHead) -> bool:
        """Tell whether this very process is the holder."""
        me = self._session.me
        return head.holder == me.name and head.life == me.life

    def due(self, head: JobHead) -> bool:
        """Tell whether a job that this entry does not run is its to take.

        A job that has this entry as holder and is not run here was lost
        between its acceptance and the first item.
        """
        if head.state != JobState.open or not self._is_orphan(head):
            self._since.pop(head.id, None)
            return False
        now = self._clock.monotonic()
        since = self._since.setdefault(head.id, now)
        return now - since >= self.rank(head) * RANK_DELAY_S

    def not_taken(self, head: JobHead, exc: CactusridgeError) -> None:
        """Note that a job could not be taken, and say why.

        One whose rows cannot be read is tried again only after a while:
        until somebody repairs them each try fails after some reads.
        """
        logs.emit(events.TAKE_FAILED, job=head.id, error=str(exc))
        if isinstance(exc, UnreadableRecord):
            self._since[head.id] = self._clock.monotonic() + UNREADABLE_PAUSE_S

    def rank(self, head: JobHead) -> int:
        """Return this entry's place among those that may see to a job."""
        live = [member.name for member in self._session.members()]
        ranked = rendezvous(live, hash64(head.id))
        return ranked.index(self._session.me.name)

    def _is_orphan(self, head: JobHead) -> bool:
        if self.is_mine(head) or not head.holder:
            return True
        return not self._session.lives(head.holder, head.life)
