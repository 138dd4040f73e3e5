"""A replica answers with bytes without end."""

from soak.replica_faults import ReplicaFault
from standins.machines.endless_replica import EndlessReplica, Part

SLOW_SHARE = 0.3
# Streams of these hold no event; newer seeds alone draw them.
EVENTLESS = (Part.comments, Part.blank_lines)
NEWER = (*EVENTLESS, Part.bare_events)


class EndlessAnswers(ReplicaFault):
    """All answers of a replica, to probes too, do not end."""

    parts = tuple(part for part in Part if part not in NEWER)

    def begin(self) -> None:
        """List another server under the id of the replica."""
        self._endless = EndlessReplica()
        self._endless.part = self.rng.choice(self.parts)
        self._endless.slow = self.rng.random() < SLOW_SHARE
        self.world.register(self.replica, self._endless.start())

    def end(self) -> None:
        """List the replica again."""
        self._endless.stop()
        self.world.register(self.replica, self.link.address)


class EndlessComments(EndlessAnswers):
    """All answers of a replica are streams without an event."""

    parts = EVENTLESS
