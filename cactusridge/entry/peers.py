"""HTTP client for requests between entries."""

import random

from geventhttpclient.response import HTTPParseError

from cactusridge import wire
from cactusridge.errors import NoReplica
from cactusridge.http.client import Address, Clients
from cactusridge.http.secret import SECRET_HEADER
from cactusridge.http.unpaused_time import UnpausedTimeout
from cactusridge.settings.follower import PeerSource
from cactusridge.settings.tree import Snapshot
from cactusridge.sidecar_dispatch.fleet import Fleet
from cactusridge.startup.models import EntrySettings
from cactusridge.store.fields import Fields

IO_ERRORS = (OSError, HTTPParseError)
MAX_QUERIED_PEERS = 3
OK = 200
NO_CONTENT = 204
TIMEOUT_S = 5


class PeerClient(PeerSource):
    """Requests settings and status from other entries."""

    def __init__(self, cfg: EntrySettings, fleet: Fleet) -> None:
        """Send requests to the entries listed in ``fleet``."""
        self._fleet = fleet
        self._clients = Clients(cfg.connect_timeout_s, cfg.silence_timeout_s)
        self._headers = {SECRET_HEADER: cfg.internal_secret}
        self._rng = random.Random()  # noqa: S311

    def changes_after(self, version: int) -> Snapshot | None:
        """Return the newest tree of a few peers if newer than ``version``.

        Queries MAX_QUERIED_PEERS random peers, not all of them, and ignores
        those that cannot be reached. Returns None if no peer has a newer
        tree.
        """
        peers = self._fleet.peers()
        queried = self._rng.sample(peers, min(MAX_QUERIED_PEERS, len(peers)))
        found = [self._snapshot(peer, version) for peer in queried]
        newer = [snapshot for snapshot in found if snapshot is not None]
        return max(newer, key=lambda each: each.version, default=None)

    def status(self, peer: Address) -> dict[str, object]:
        """Return the status of a peer and of the sidecars that it knows.

        If the request fails, returns a dictionary with only ``error``.
        """
        try:
            return wire.decode(self._get(peer, '/internal/status'))
        except NoReplica as exc:
            return {'error': str(exc)}

    def _snapshot(self, peer: Address, version: int) -> Snapshot | None:
        path = f'/internal/snapshot?after={version}'
        try:
            body = self._get(peer, path)
        except NoReplica:
            return None
        if not body:
            return None
        fields = Fields(wire.decode(body))
        nodes = [tuple(node) for node in fields.items_of('nodes')]
        return Snapshot(fields.integer('version'), nodes)

    def _get(self, peer: Address, path: str) -> bytes:
        timeout = UnpausedTimeout(TIMEOUT_S)
        try:
            with (
                timeout,
                self._clients.send(
                    peer,
                    path,
                    b'',
                    self._headers,
                    'GET',
                ) as resp,
            ):
                body = resp.read()
                status = resp.status_code
        except IO_ERRORS as exc:
            self._clients.drop(peer)
            raise NoReplica(f'{peer}: {exc!r}') from exc
        except UnpausedTimeout as exc:
            if exc is not timeout:
                raise
            raise NoReplica(f'{peer}: {exc.timeout_message(path)}') from exc
        if status not in {OK, NO_CONTENT}:
            raise NoReplica(f'{peer}: status {status}')
        return body
