"""Renews the lease on keys where the watch on the configuration does not."""

import gevent

from cactusridge.background import keep_doing_every
from cactusridge.clock import Clock
from cactusridge.errors import StoreUnavailable
from cactusridge.organisations.key_lease import KeyLease
from cactusridge.organisations.key_source import KeysConfirmed, KeySource
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.key_questions import KeyQuestions
from cactusridge.peers.loads import LoadTable
from cactusridge.platform.operator import KEY, CatalogHolder
from cactusridge.store.table import Priority, Table

LOOK_S = 0.4
# Older than a quiet watch lets it become, in seconds.
OLD_S = 2.9


class HeldKeys(KeySource):
    """What this entry knows of keys."""

    def __init__(self, holder: CatalogHolder, lease: KeyLease) -> None:
        """Tell of the configuration in ``holder``."""
        self._holder = holder
        self._lease = lease

    def confirmed(self) -> KeysConfirmed | None:
        """Return since when the configuration here is the newest."""
        if not self._lease.valid or self._lease.confirmed_at is None:
            return None
        version = self._holder.catalog.version
        return KeysConfirmed(version, self._lease.confirmed_at)


class KeyKeeper:
    """Reads the configuration, or asks peers that have read it.

    A watch hears nothing while the store drops its history or one
    connection is silent; a store that turns this entry away has answered
    others.
    """

    def __init__(
        self,
        holder: CatalogHolder,
        lease: KeyLease,
        table: Table,
        peers: PeerExchange,
        loads: LoadTable,
        clock: Clock,
    ) -> None:
        """Keep ``lease`` from growing old; ask the ``peers`` heard."""
        self._holder = holder
        self._lease = lease
        self._table = table
        self._clock = clock
        held = HeldKeys(holder, lease)
        self._questions = KeyQuestions(peers, loads, held, clock)

    def start(self) -> None:
        """Look at the lease now and then; both ways beside each other."""
        if self._lease.bounded:
            gevent.spawn(keep_doing_every, LOOK_S, self.read)
            gevent.spawn(keep_doing_every, LOOK_S, self.ask)

    def read(self) -> None:
        """Read the configuration if it is long since that was done."""
        begun_at = self._clock.monotonic()
        if not self._lease.older_than(OLD_S):
            return
        try:
            row = self._table.read([KEY], Priority.lease)[0]
        except StoreUnavailable:
            # The watch says so, and goes on trying.
            return
        self._holder.put(row)
        self._holder.confirmed(begun_at, whole=True)

    def ask(self) -> None:
        """Ask peers if it is long since anything was confirmed."""
        if not self._lease.older_than(OLD_S):
            return
        told = self._questions.ask()
        if told is not None and told.version == self._holder.catalog.version:
            self._lease.read(told.at)
