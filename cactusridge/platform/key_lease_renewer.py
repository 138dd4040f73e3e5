"""Renews the lease on API keys if the configuration watch does not."""

import gevent

from cactusridge.background import run_every
from cactusridge.clock import Clock
from cactusridge.errors import StoreUnavailable
from cactusridge.organisations.key_lease import KeyLease
from cactusridge.organisations.key_source import KeysConfirmed, KeySource
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.key_confirmation_requests import KeyConfirmationRequests
from cactusridge.peers.loads import LoadTable
from cactusridge.platform.catalog_holder import KEY, CatalogHolder
from cactusridge.store.table import Priority, Table

CHECK_PERIOD_S = 0.4
# Age of the lease, in seconds, from which it is renewed. A watch without
# changes keeps the lease younger than this.
RENEW_AGE_S = 2.9


class LocalKeySource(KeySource):
    """Reports to peers how recent the keys of this entry are."""

    def __init__(self, holder: CatalogHolder, lease: KeyLease) -> None:
        """Report the version in ``holder`` and the age of ``lease``."""
        self._holder = holder
        self._lease = lease

    def confirmation(self) -> KeysConfirmed | None:
        """Return the version in force and when it was last confirmed.

        The result is None while the lease is not valid.
        """
        if not self._lease.valid or self._lease.confirmed_at is None:
            return None
        version = self._holder.catalog.version
        return KeysConfirmed(version, self._lease.confirmed_at)


class KeyLeaseRenewer:
    """Renews the lease from the store, or from peers that have read it.

    The watch receives nothing while the store drops its history or while
    the watch's connection is silent. A store that rejects this entry may
    still answer its peers.
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
        """Renew ``lease``; send requests to the ``peers`` in ``loads``."""
        self._holder = holder
        self._lease = lease
        self._table = table
        self._clock = clock
        source = LocalKeySource(holder, lease)
        self._questions = KeyConfirmationRequests(peers, loads, source, clock)

    def start(self) -> None:
        """Check the lease periodically, in one greenlet for each source."""
        if self._lease.expires:
            gevent.spawn(run_every, CHECK_PERIOD_S, self.renew_from_store)
            gevent.spawn(run_every, CHECK_PERIOD_S, self.renew_from_peers)

    def renew_from_store(self) -> None:
        """Read the configuration from the store if the lease is old."""
        started_at = self._clock.monotonic()
        if not self._lease.older_than(RENEW_AGE_S):
            return
        try:
            row = self._table.read([KEY], Priority.lease)[0]
        except StoreUnavailable:
            # The watch logs the failure and retries.
            return
        self._holder.put(row)
        self._holder.up_to_date(started_at, whole=True)

    def renew_from_peers(self) -> None:
        """Renew an old lease from a peer with the same version."""
        if not self._lease.older_than(RENEW_AGE_S):
            return
        answer = self._questions.request()
        if (
            answer is not None
            and answer.version == self._holder.catalog.version
        ):
            self._lease.renew(answer.confirmed_at)
