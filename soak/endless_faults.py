"""A replica answers with bytes without end."""

from soak.replica_faults import ReplicaFault
from standins.machines.endless_replica import EndlessReplica, Part

SLOW_SHARE = 0.3


class EndlessAnswers(ReplicaFault):
    """All answers of a replica, to probes too, do not end."""

    def begin(self) -> None:
        """List another server under the id of the replica."""
        self._endless = EndlessReplica()
        self._endless.part = self.rng.choice(list(Part))
        self._endless.slow = self.rng.random() < SLOW_SHARE
        self.world.register(self.replica, self._endless.start())

    def end(self) -> None:
        """List the replica again."""
        self._endless.stop()
        self.world.register(self.replica, self.link.address)
