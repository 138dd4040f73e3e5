"""The newest configuration that any entry has, asked of that entry.

An entry that the store turns away still hears its peers; the newest
version that one of them names is in force.
"""

import gevent

from cactusridge import events, logs
from cactusridge.errors import BadRequest
from cactusridge.http.client import Address, Clients
from cactusridge.http.exchange import Reply, Req, json_reply
from cactusridge.platform.operator import CatalogHolder

CATALOG_PATH = '/catalog'
# A way to any availability zone and back takes under 10 ms.
TIMEOUT_S = 0.5
# The store's feed usually has a version before a peer names it; only
# after this many seconds is the peer asked.
FEED_HEAD_START_S = 0.3


class CatalogPeers:
    """Serves this entry's configuration and fetches a newer one."""

    def __init__(self, holder: CatalogHolder) -> None:
        """Keep ``holder`` up to what the peers have."""
        self._holder = holder
        self._clients = Clients(TIMEOUT_S, TIMEOUT_S)
        self._fetching = False

    def version(self) -> int:
        """Return the version in force here."""
        return self._holder.catalog.version

    def serve(self, req: Req) -> Reply:
        """Answer a peer with the configuration in force here."""
        return json_reply(self._holder.raw)

    def heard(self, peer: tuple[str, int], version: int) -> None:
        """Fetch a peer's configuration if it is newer."""
        if version > self.version() and not self._fetching:
            self._fetching = True
            gevent.spawn(self._fetch, Address(*peer), version)

    def _fetch(self, peer: Address, version: int) -> None:
        try:
            gevent.sleep(FEED_HEAD_START_S)
            if version > self.version():
                self._ask(peer, version)
        finally:
            self._fetching = False

    def _ask(self, peer: Address, version: int) -> None:
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
        self._holder.take(raw, str(peer), version)
        if self.version() > before:
            logs.emit(
                events.SETTINGS_FROM_PEER,
                peer=str(peer),
                version=self.version(),
            )
