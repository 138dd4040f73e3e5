"""What entries ask each other."""

import random

from geventhttpclient.response import HTTPParseError

from cactusridge import wire
from cactusridge.errors import NoReplica
from cactusridge.http.awake import PatientTimeout
from cactusridge.http.client import Address, Clients
from cactusridge.http.secret import SECRET_HEADER
from cactusridge.settings.follower import PeerSource
from cactusridge.settings.tree import Snapshot
from cactusridge.sidecar_dispatch.fleet import Fleet
from cactusridge.startup.models import EntrySettings
from cactusridge.store.fields import Fields

IO_ERRORS = (OSError, HTTPParseError)
ASKED = 3
OK = 200
NO_CONTENT = 204
TIMEOUT_S = 5


class PeerClient(PeerSource):
    """Asks a few entries at random; never all of them."""

    def __init__(self, cfg: EntrySettings, fleet: Fleet) -> None:
        """Find entries in ``fleet``."""
        self._fleet = fleet
        self._clients = Clients(cfg.connect_timeout_s, cfg.silence_timeout_s)
        self._headers = {SECRET_HEADER: cfg.internal_secret}
        self._rng = random.Random()  # noqa: S311

    def changes_after(self, version: int) -> Snapshot | None:
        """Return the newest tree of a few peers, if newer than ``version``."""
        peers = self._fleet.peers()
        asked = self._rng.sample(peers, min(ASKED, len(peers)))
        found = [self._snapshot(peer, version) for peer in asked]
        newer = [snapshot for snapshot in found if snapshot is not None]
        return max(newer, key=lambda each: each.version, default=None)

    def status(self, peer: Address) -> dict[str, object]:
        """Return a peer's word on itself and its sidecars."""
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
        nodes = [tuple(node) for node in fields.listed('nodes')]
        return Snapshot(fields.whole('version'), nodes)

    def _get(self, peer: Address, path: str) -> bytes:
        limit = PatientTimeout(TIMEOUT_S)
        try:
            with (
                limit,
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
        except PatientTimeout as exc:
            if exc is not limit:
                raise
            raise NoReplica(f'{peer}: {exc.described(path)}') from exc
        if status not in {OK, NO_CONTENT}:
            raise NoReplica(f'{peer}: status {status}')
        return body
