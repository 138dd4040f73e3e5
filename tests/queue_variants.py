"""Other ways in which entries take a slot that all of them see."""

import contextlib

from cactusridge.dispatch.claims import (
    LARGE_FLEET_CLAIM_WAIT_S,
    AnnouncedClaims,
)
from cactusridge.errors import NoReplica
from cactusridge.peers.load import WorkKind
from tests.cells_play import SERVICE, SLOTS
from tests.queue_entry import QueueEntry


class AtOnceEntry(QueueEntry):
    """Takes a free slot as soon as it is seen."""

    def take_delay_s(self):
        """Return 0."""
        return 0


class ClaimingEntry(AtOnceEntry):
    """Claims a free slot first, as for a batch item."""

    def __init__(self, *args):
        """Start without a claim."""
        super().__init__(*args)
        self._claims = False

    def start_next(self):
        """Claim a free slot; return False, since none is taken yet."""
        self.end_waits()
        if not self._waits or self._claims:
            return False
        with contextlib.suppress(NoReplica):
            best = self.attempts._best(SERVICE, ())
            if best.queue == 0:
                self._claim(best.replica.incarnation)
        return False

    def _claim(self, incarnation):
        self._claims = True
        claim = self.loads.count_request(incarnation, WorkKind.claim)
        claim.__enter__()
        self._play.at(
            LARGE_FLEET_CLAIM_WAIT_S, self._resolve, incarnation, claim
        )

    def _resolve(self, incarnation, claim):
        loads = self.loads.peers_at(incarnation)
        loads[self.cells.name] = self.loads.own(incarnation)
        # Batch items are preempted, so they do not use up the slots.
        online = {name: load._replace(batch=0) for name, load in loads.items()}
        granted = AnnouncedClaims().grants(
            self.cells.name, SLOTS, incarnation, online
        )
        claim.__exit__(None, None, None)
        self._claims = False
        if granted:
            self.queue.start_next()
            self.end_waits()
        self._wake()


class NoSpareEntry(QueueEntry):
    """Takes also the last free slot of a replica."""

    spare = 0

    def has_free_slot(self, service):
        """Return whether a replica has more than the spare slots."""
        with contextlib.suppress(NoReplica):
            best = self.attempts._best(service, ())
            return best.replica.slots - best.load.online > self.spare
        return False


class OneSpareEntry(NoSpareEntry):
    """Takes a slot only at a replica that has another free one."""

    spare = 1


# Entries that take free slots in another way than the default.
VARIANTS = {
    'at_once': AtOnceEntry,
    'claims': ClaimingEntry,
    'no_spare': NoSpareEntry,
    'one_spare': OneSpareEntry,
}
