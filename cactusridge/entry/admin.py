"""Settings, status and reports for operators."""

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
from cactusridge.slo.burn import QUARTER, BurnReporter
from cactusridge.slo.history import SloHistory

MAX_HISTORY = 200
FAN_OUT = 16
NODE = '(?P<path>/teams/.+)'


class AdminApi:
    """What operators may see and change."""

    def __init__(
        self,
        parts: EntryComponents,
        follower: SettingsFollower,
        peers: PeerClient,
    ) -> None:
        """Serve the settings that ``follower`` keeps in force."""
        self._parts = parts
        self._follower = follower
        self._peers = peers

    def routes(self) -> list[Route]:
        """Return the routes of this interface."""
        return [
            route('GET', f'/admin/settings{NODE}', self.show),
            route('PUT', f'/admin/settings{NODE}', self.change),
            route('GET', f'/admin/history{NODE}', self.history),
            route('GET', '/admin/paths', self.page),
            route('GET', '/admin/status', self.status),
            route('GET', '/admin/burn', self.burn),
        ]

    def internal_routes(self) -> list[Route]:
        """Return the routes for other entries."""
        return [
            route('GET', '/internal/snapshot', self.snapshot),
            route('GET', '/internal/status', self.own_status),
        ]

    def show(self, req: Req, path: str) -> Reply:
        """Return what is stored at a path, with its version."""
        self._operator(req, path)
        return json_reply(self._parts.settings.read(path)._asdict())

    def change(self, req: Req, path: str) -> Reply:
        """Set a path on condition of its version."""
        who = self._operator(req, path)
        message = req.json()
        if not isinstance(message, dict) or 'raw' not in message:
            raise BadRequest('send raw and if_version', param='raw')
        if_version = message.get('if_version')
        if not isinstance(if_version, int) or isinstance(if_version, bool):
            raise BadRequest('a version is expected', param='if_version')
        if paths.parse(path).kind == paths.NodeKind.team and not who.admin:
            raise Forbidden('teams are set by the administrator')
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
        """Return the last changes at and below a path."""
        self._operator(req, path)
        changes = self._parts.settings.history(path, MAX_HISTORY)
        listed = [self._visible(change) for change in changes]
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
        """Return which version is in force on every process."""
        self._caller(req)
        peers = self._parts.fleet.peers()
        answers = Pool(FAN_OUT).map(self._peers.status, peers)
        own = self._own()
        entries = {str(self._parts.cfg.address): own['entry']}
        sidecars = dict(own['sidecars'])
        for peer, answer in zip(peers, answers, strict=True):
            entries[str(peer)] = answer.get('entry', answer)
            for name, told in answer.get('sidecars', {}).items():
                sidecars.setdefault(name, told)
        return json_reply({'entries': entries, 'sidecars': sidecars})

    def own_status(self, req: Req) -> Reply:
        """Return this entry's word on itself and its sidecars."""
        self._check_secret(req)
        return json_reply(self._own())

    def snapshot(self, req: Req) -> Reply:
        """Return the tree to a peer that has an older one."""
        self._check_secret(req)
        after = req.query('after', '0')
        if not after.isdecimal():
            raise BadRequest('a version is expected', param='after')
        if self._parts.tree.version <= int(after):
            return Reply(HTTPStatus.NO_CONTENT, [], [])
        return json_reply(self._parts.tree.snapshot()._asdict())

    def burn(self, req: Req) -> Reply:
        """Return the burn report of a service."""
        service = req.query('service')
        self._operator(req, service)
        settings = self._parts.tree.model(service)
        if settings is None:
            raise BadRequest(f'nothing is set at {service}', param='service')
        history = SloHistory(self._parts.objects, self._parts.table)
        report = BurnReporter(history).report(
            service,
            settings.objective,
            self._parts.clock.wall(),
            req.query('window', QUARTER),
        )
        return json_reply(report)

    def _own(self) -> dict[str, Any]:
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

    def _operator(self, req: Req, path: str) -> Caller:
        caller = self._caller(req)
        check_operator(caller, paths.parse(path).team)
        return caller

    def _visible(self, change: Change) -> dict[str, Any]:
        shown = change._asdict()
        shown.pop('write_id')
        return shown

    def _check_secret(self, req: Req) -> None:
        check_secret(req, self._parts.cfg.internal_secret)
