"""Replicas and their entries on the platform's list."""

from typing import Any

import gevent

from cactusridge.http.client import Address
from standins.forwarder import Forwarder
from standins.machines.replica import MachineReplica
from standins.machines.spoiled import SPOILED
from standins.machines.store import MachineStore

# From a replica's end to its next start, in seconds.
BACK_S = 0.7
# From a replica's end to that of its entry, if it came back under another.
LAPSES_S = 2.5


class ListedReplicas:
    """Lists replicas in a store, starts them again, spoils their entries."""

    def __init__(
        self,
        store: MachineStore,
        replicas: list[MachineReplica],
        slots: int,
    ) -> None:
        """List ``replicas`` of so many slots in ``store``."""
        self.store = store
        self.replicas = replicas
        # The way to each replica.
        self.replica_links: list[Forwarder] = []
        self._slots = slots
        # Whether a replica that has crashed comes back under another id.
        self.renames = False

    def register(
        self,
        replica: MachineReplica,
        address: Address,
        state: str = 'ready',
    ) -> None:
        """Put a replica on the list of the platform."""
        entry = self.listed(replica, address, state)
        self.store.put(('servers', '', replica.id), entry)

    def listed(
        self,
        replica: MachineReplica,
        address: Address,
        state: str = 'ready',
    ) -> dict[str, Any]:
        """Return what a replica says of itself on the list."""
        return {
            'service': 'model',
            'address': str(address),
            'zone': 'z',
            'version': '1',
            'slots': self._slots,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': 0,
            'born': replica.born,
        }

    def restart_under_same_id(self, number: int, moved: bool = False) -> None:
        """Break a replica off and start it again under the id it had.

        It is back at once, at its address or, if ``moved``, at another.
        """
        replica, link = self.replicas[number], self.replica_links[number]
        link.refusing = True
        link.reset()
        replica.restart()
        if moved:
            link.stop()
            link = Forwarder(link.target)
            link.start()
            self.replica_links[number] = link
        link.refusing = False
        self.register(replica, link.address)

    def crash(self, number: int, silent: bool = False) -> None:
        """End a replica with everything in it; it is back after a while.

        Its entry stays on the list until then.
        """
        replica, link = self.replicas[number], self.replica_links[number]
        link.refusing = True
        if silent:
            link.silence()
        replica.restart()
        link.reset()
        old = replica.id
        if self.renames:
            replica.id = f'{old}+'
        gevent.spawn_later(BACK_S, self._come_back, number)
        gevent.spawn_later(LAPSES_S, self._drop_former, number, old)

    def spoil_entry(self, number: int, how: str) -> None:
        """Overwrite a replica's entry as another writer would.

        ``how`` is a key of ``SPOILED``. The replica itself lives on.
        """
        replica = self.replicas[number]
        entry = self.listed(replica, self.replica_address(number))
        raw = SPOILED[how](entry)
        self.store.put_bytes(('servers', '', replica.id), raw)

    def mend_entry(self, number: int) -> None:
        """Let a replica write its entry again."""
        self.register(self.replicas[number], self.replica_address(number))

    def replica_address(self, number: int) -> Address:
        """Return where a replica listens."""
        return self.replica_links[number].address

    def _drop_former(self, number: int, former: str) -> None:
        if self.replicas[number].id != former:
            self.store.remove(('servers', '', former))

    def _come_back(self, number: int) -> None:
        self.replica_links[number].refusing = False
        self.mend_entry(number)
