"""Replicas and their entries in the platform's replica list."""

from typing import Any

import gevent

from cactusridge.http.client import Address
from standins.forwarder import Forwarder
from standins.machines.corrupt_entries import CORRUPTIONS
from standins.machines.replica import MachineReplica
from standins.machines.store import MachineStore

# Seconds from a replica's crash until it accepts connections again.
RESTART_DELAY_S = 0.7
# Seconds from a replica's crash until its list entry is removed, if the
# replica has restarted under another id.
OLD_ENTRY_REMOVAL_S = 2.5


class ListedReplicas:
    """Registers replicas in a store, restarts them and corrupts entries."""

    def __init__(
        self,
        store: MachineStore,
        replicas: list[MachineReplica],
        slots: int,
    ) -> None:
        """Manage ``replicas`` of ``slots`` slots, listed in ``store``."""
        self.store = store
        self.replicas = replicas
        # The proxy in front of each replica.
        self.replica_links: list[Forwarder] = []
        self._slots = slots
        # Whether a crashed replica restarts under another id.
        self.restarts_under_new_id = False

    def register(
        self,
        replica: MachineReplica,
        address: Address,
        state: str = 'ready',
    ) -> None:
        """Write the list entry of a replica to the store."""
        entry = self.list_entry(replica, address, state)
        self.store.put(('servers', '', replica.id), entry)

    def list_entry(
        self,
        replica: MachineReplica,
        address: Address,
        state: str = 'ready',
    ) -> dict[str, Any]:
        """Return the list entry that a replica writes for itself."""
        return {
            'service': replica.service,
            'address': str(address),
            'zone': 'z',
            'version': replica.version,
            'slots': self._slots,
            'state': state,
            'cold_remaining_ms': 0,
            'sequence': 0,
            'born': replica.born,
        }

    def restart_under_same_id(self, number: int, moved: bool = False) -> None:
        """Reset a replica's connections and restart it under the same id.

        It accepts connections again at once, at the same address or, if
        ``moved``, at a new one.
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
        """Crash a replica with all its requests; it restarts after a delay.

        Its entry stays in the list until then. If ``silent``, open
        connections stop carrying data instead of being reset.
        """
        replica, link = self.replicas[number], self.replica_links[number]
        link.refusing = True
        if silent:
            link.stall_connections()
        replica.restart()
        link.reset()
        old = replica.id
        if self.restarts_under_new_id:
            replica.id = f'{old}+'
        gevent.spawn_later(RESTART_DELAY_S, self._reopen, number)
        gevent.spawn_later(
            OLD_ENTRY_REMOVAL_S, self._remove_old_entry, number, old
        )

    def corrupt_entry(self, number: int, how: str) -> None:
        """Corrupt a replica's list entry, as a faulty writer would.

        ``how`` is a key of ``CORRUPTIONS``. The replica itself keeps running.
        """
        replica = self.replicas[number]
        entry = self.list_entry(replica, self.replica_address(number))
        raw = CORRUPTIONS[how](entry)
        self.store.put_bytes(('servers', '', replica.id), raw)

    def restore_entry(self, number: int) -> None:
        """Write a correct list entry for a replica again."""
        self.register(self.replicas[number], self.replica_address(number))

    def replica_address(self, number: int) -> Address:
        """Return the address at which a replica accepts connections."""
        return self.replica_links[number].address

    def _remove_old_entry(self, number: int, old_id: str) -> None:
        if self.replicas[number].id != old_id:
            self.store.remove(('servers', '', old_id))

    def _reopen(self, number: int) -> None:
        self.replica_links[number].refusing = False
        self.restore_entry(number)
