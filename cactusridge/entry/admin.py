"""HTTP interface for operators: settings, status and burn reports."""

from http import HTTPStatus
from typing import Any

from gevent.pool import Pool

from cactusridge.entry.peers import PeerClient
from cactusridge.errors import BadRequest, Forbidden
from cactusridge.http.app import Route, route
from cactusridge.http.exchange import Reply, Req, json_reply
from cactusridge.http.secret import check_secret
from cactusridge.settings import paths
from cactusridge.settings.access import Caller, check_operator
from cactusridge.settings.follower import SettingsFollower
from cactusridge.settings.tree import Change
from cactusridge.sidecar_dispatch.entry_components import EntryComponents
from cactusridge.slo.burn import QUARTER, BurnRateReporter
from cactusridge.slo.history import SloHistory

MAX_HISTORY_CHANGES = 200
MAX_CONCURRENT_REQUESTS = 16
TEAM_PATH = '(?P<path>/teams/.+)'


class AdminApi:
    """Serves settings, status and reports to operators."""

    def __init__(
        self,
        parts: EntryComponents,
        follower: SettingsFollower,
        peers: PeerClient,
    ) -> None:
        """Serve the settings that ``follower`` keeps up to date."""
        self._parts = parts
        self._follower = follower
        self._peers = peers

    def routes(self) -> list[Route]:
        """Return the routes of this interface."""
        return [
            route('GET', f'/admin/settings{TEAM_PATH}', self.show),
            route('PUT', f'/admin/settings{TEAM_PATH}', self.change),
            route('GET', f'/admin/history{TEAM_PATH}', self.history),
            route('GET', '/admin/paths', self.page),
            route('GET', '/admin/status', self.status),
            route('GET', '/admin/burn', self.burn),
        ]

    def internal_routes(self) -> list[Route]:
        """Return the routes that other entries call."""
        return [
            route('GET', '/internal/snapshot', self.snapshot),
            route('GET', '/internal/status', self.local_status),
        ]

    def show(self, req: Req, path: str) -> Reply:
        """Return the settings stored at a path, with their version."""
        self._authorize_operator(req, path)
        return json_reply(self._parts.settings.read(path)._asdict())

    def change(self, req: Req, path: str) -> Reply:
        """Set a path if its version is still the given one."""
        who = self._authorize_operator(req, path)
        message = req.json()
        if not isinstance(message, dict) or 'raw' not in message:
            raise BadRequest(
                'the body has to have raw and if_version', param='raw'
            )
        if_version = message.get('if_version')
        if not isinstance(if_version, int) or isinstance(if_version, bool):
            raise BadRequest('expected a version number', param='if_version')
        if paths.parse(path).kind == paths.NodeKind.team and not who.admin:
            raise Forbidden('only the administrator may set teams')
        named = who.team or 'administrator'
        change = self._parts.settings.put(
            path,
            message['raw'],
            if_version,
            named,
        )
        self._follower.step()
        return json_reply(change._asdict())

    def history(self, req: Req, path: str) -> Reply:
        """Return the last changes at and below a path, newest first."""
        self._authorize_operator(req, path)
        changes = self._parts.settings.history(path, MAX_HISTORY_CHANGES)
        listed = [self._public_fields(change) for change in changes]
        return json_reply({'changes': listed})

    def page(self, req: Req) -> Reply:
        """List the paths in force that the caller may see."""
        caller = self._caller(req)
        tree = self._parts.tree
        listed = [
            {'path': path, 'version': tree.node_version(path)}
            for path in sorted(tree.paths())
            if caller.admin or paths.parse(path).team == caller.team
        ]
        return json_reply({'version': tree.version, 'paths': listed})

    def status(self, req: Req) -> Reply:
        """Return the settings version in force on every process."""
        self._caller(req)
        peers = self._parts.fleet.peers()
        statuses = Pool(MAX_CONCURRENT_REQUESTS).map(self._peers.status, peers)
        local = self._local_status()
        entries = {str(self._parts.cfg.address): local['entry']}
        sidecars = dict(local['sidecars'])
        for peer, status_reply in zip(peers, statuses, strict=True):
            entries[str(peer)] = status_reply.get('entry', status_reply)
            for name, sidecar in status_reply.get('sidecars', {}).items():
                sidecars.setdefault(name, sidecar)
        return json_reply({'entries': entries, 'sidecars': sidecars})

    def local_status(self, req: Req) -> Reply:
        """Return the status of this entry and of the sidecars it knows."""
        self._check_secret(req)
        return json_reply(self._local_status())

    def snapshot(self, req: Req) -> Reply:
        """Return the settings tree if it is newer than the peer's version."""
        self._check_secret(req)
        after = req.query('after', '0')
        if not after.isdecimal():
            raise BadRequest('expected a version number', param='after')
        if self._parts.tree.version <= int(after):
            return Reply(HTTPStatus.NO_CONTENT, [], [])
        return json_reply(self._parts.tree.snapshot()._asdict())

    def burn(self, req: Req) -> Reply:
        """Return the burn report of a service."""
        service = req.query('service')
        self._authorize_operator(req, service)
        settings = self._parts.tree.model(service)
        if settings is None:
            raise BadRequest(f'no settings exist at {service}', param='service')
        history = SloHistory(self._parts.objects, self._parts.table)
        report = BurnRateReporter(history).report(
            service,
            settings.objective,
            self._parts.clock.wall(),
            req.query('window', QUARTER),
        )
        return json_reply(report)

    def _local_status(self) -> dict[str, Any]:
        now = self._parts.fleet.now()
        sidecars = {
            str(host.address): {
                'zone': host.zone,
                'version': host.settings_version,
                'state': host.status(now).value,
                'services': sorted(host.replicas),
            }
            for host in self._parts.fleet.sidecars()
        }
        entry = {
            'zone': self._parts.cfg.zone,
            'version': self._parts.tree.version,
            'state': 'serving',
        }
        return {'entry': entry, 'sidecars': sidecars}

    def _caller(self, req: Req) -> Caller:
        return self._parts.access.caller(req.header('Authorization'))

    def _authorize_operator(self, req: Req, path: str) -> Caller:
        caller = self._caller(req)
        check_operator(caller, paths.parse(path).team)
        return caller

    def _public_fields(self, change: Change) -> dict[str, Any]:
        shown = change._asdict()
        shown.pop('write_id')
        return shown

    def _check_secret(self, req: Req) -> None:
        check_secret(req, self._parts.cfg.internal_secret)
