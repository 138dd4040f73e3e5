"""Exchange of configurations between entries.

An entry that cannot reach the store still receives its peers' messages,
which name the version in force at each peer. The entry fetches a newer
version from the peer and puts it into force.
"""

import gevent

from cactusridge import events, logs
from cactusridge.errors import BadRequest
from cactusridge.http.client import Address, Clients
from cactusridge.http.exchange import Reply, Req, json_reply
from cactusridge.platform.catalog_holder import CatalogHolder

CATALOG_PATH = '/catalog'
# Seconds; a round trip to any availability zone takes under 10 ms.
TIMEOUT_S = 0.5
# Seconds between a peer's report of a newer version and the request for it.
# The store's feed usually delivers the version within this time. An entry
# without any configuration does not wait.
FETCH_DELAY_S = 0.3
# Number of peers that an entry without any configuration asks at the same
# time: one of them may not reply.
MAX_FIRST_FETCHES = 3


class CatalogPeers:
    """Serves this entry's configuration and fetches a newer one."""

    def __init__(self, holder: CatalogHolder) -> None:
        """Keep ``holder`` at the newest version that a peer has."""
        self._holder = holder
        self._clients = Clients(TIMEOUT_S, TIMEOUT_S)
        # The peers from which a configuration is being fetched.
        self._fetching: set[Address] = set()

    def version(self) -> int:
        """Return the version of the configuration in force."""
        return self._holder.catalog.version

    def serve(self, req: Req) -> Reply:
        """Respond with the configuration in force, as JSON."""
        return json_reply(self._holder.raw)

    def on_peer_version(self, peer: tuple[str, int], version: int) -> None:
        """Fetch the configuration of ``peer`` if ``version`` is newer."""
        address = Address(*peer)
        limit = 1 if self._holder.known else MAX_FIRST_FETCHES
        if len(self._fetching) >= limit or address in self._fetching:
            return
        if version > self.version():
            self._fetching.add(address)
            gevent.spawn(self._fetch, address, version)

    def _fetch(self, peer: Address, version: int) -> None:
        try:
            if self._holder.known:
                gevent.sleep(FETCH_DELAY_S)
            if version > self.version():
                self._request(peer, version)
        finally:
            self._fetching.discard(peer)

    def _request(self, peer: Address, version: int) -> None:
        try:
            _, raw = self._clients.get_json(peer, CATALOG_PATH)
        except (OSError, BadRequest, ValueError) as exc:
            logs.emit(
                events.PEER_UNREACHABLE,
                peer=str(peer),
                error=repr(exc),
            )
            return
        before = self.version()
        self._holder.apply(raw, str(peer), version)
        if self.version() > before:
            logs.emit(
                events.SETTINGS_FROM_PEER,
                peer=str(peer),
                version=self.version(),
            )
