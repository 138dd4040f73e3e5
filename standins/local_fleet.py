"""A small fleet of real processes on loopback, for the demo and tests."""

import json
from collections.abc import Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any

import yaml

from cactusridge import wire
from cactusridge.http.client import Address, Clients
from standins.fleet_plan import FleetPlan
from standins.local_process import LocalProcess
from standins.ports import Ports
from standins.waiting import NotReady, wait_for

DEMO = Path(__file__).parent.parent / 'demo'
ADMIN = MappingProxyType({'Authorization': 'Bearer admin'})
ZONES = ('tr-orta-a', 'tr-orta-b', 'tr-orta-c', 'tr-orta-d')
YAZMAN = '/teams/demo/deployments/main/services/yazman'
DEFTER = '/teams/demo/deployments/main/services/defter'
CONNECT_S = 2
SILENCE_S = 60


class LocalFleet:
    """Starts, calls and stops the processes of a fleet."""

    def __init__(self, folder: Path, plan: FleetPlan | None = None) -> None:
        """Create a fleet whose start settings and logs go below ``folder``."""
        self.folder = folder
        self.plan = plan or FleetPlan()
        self.processes: dict[str, LocalProcess] = {}
        self.addresses: dict[str, Address] = {}
        self.hosts: dict[str, dict[str, Any]] = {}
        self.http = Clients(CONNECT_S, SILENCE_S)
        # The settings version of the last change made by ``seed``.
        self._seeded_version = 0
        self._ports = Ports()

    def start(self) -> None:
        """Start all processes, seed the settings and wait for readiness."""
        self.start_platform()
        for number in range(self.plan.sidecars):
            self.start_engine(number)
        self._start('plain', ['standins', 'plain'])
        for number in range(self.plan.sidecars):
            self.start_sidecar(number)
        for number in range(self.plan.entries):
            self.start_entry(number)
        self.publish_hosts()
        self.seed(yaml.safe_load((DEMO / 'settings.yaml').read_text()))
        self.wait_ready()

    def start_platform(self) -> None:
        """Start the platform stand-in."""
        self._start('platform', ['standins', 'platform'])
        self._wait_http('platform', '/hosts')

    def start_engine(self, number: int) -> None:
        """Start or restart an engine at its address."""
        name = f'engine-{number}'
        speed = self.plan.engine_speeds.get(number, self.plan.engine_speed)
        checks = number in self.plan.fencing_engines
        options = {**speed, 'checks_fencing': checks}
        self._start(name, ['standins', 'engine'], [json.dumps(options)])

    def start_sidecar(self, number: int) -> None:
        """Start or restart a sidecar at its address."""
        name = f'sidecar-{number}'
        raw = yaml.safe_load((DEMO / 'sidecar.yaml').read_text())
        upstream = raw['upstreams'][0]
        upstream['slots'] = self.plan.slots
        upstream['address'] = str(self.addresses[f'engine-{number}'])
        services = [YAZMAN]
        if number == self.plan.sidecars - 1:
            plain = {'service': DEFTER, 'address': str(self.addresses['plain'])}
            raw['upstreams'].append(plain)
            services.append(DEFTER)
        raw.update(self.plan.sidecar_extra)
        self._start_role(name, 'sidecar', raw, number)
        self.list_host(name, 'live', number, services)

    def start_entry(self, number: int) -> None:
        """Start or restart an entry at its address."""
        name = f'entry-{number}'
        raw = yaml.safe_load((DEMO / 'entry.yaml').read_text())
        raw['store']['address'] = str(self.addresses['platform'])
        raw.update(self.plan.entry_extra)
        if number < len(self.plan.entry_ports):
            port = self.plan.entry_ports[number]
            self.addresses[name] = Address('127.0.0.1', port)
        self._start_role(name, 'entry', raw, number)
        self.list_host(name, 'live', number, [])

    def list_host(
        self,
        name: str,
        state: str,
        number: int,
        services: list[str],
    ) -> None:
        """Add a host to the list that ``publish_hosts`` sends."""
        self.hosts[name] = {
            'address': str(self.addresses[name]),
            'zone': ZONES[number % len(ZONES)],
            'role': name.partition('-')[0],
            'state': state,
            'services': services,
        }

    def publish_hosts(self) -> None:
        """Send the host list to the platform, which serves it after a lag."""
        message = {'hosts': list(self.hosts.values())}
        self.call('platform', '/hosts', message, method='PUT')

    def seed(self, nodes: dict[str, Any]) -> None:
        """Write the nodes through the first entry; may raise NotReady."""
        self._wait_http('entry-0', '/livez')
        for path, raw in nodes.items():
            message = {'raw': raw, 'if_version': 0}
            status, reply = self.call(
                'entry-0',
                f'/admin/settings{path}',
                message,
                ADMIN,
                'PUT',
            )
            if status != 200:
                raise NotReady(f'{path}: {reply}')
            self._seeded_version = reply['version']

    def wait_ready(self) -> None:
        """Wait until every entry is ready and serves with every sidecar."""
        for name in self.names_of_kind('entry'):
            self._wait_http(name, '/readyz')
            self._wait_fleet(name)

    def names_of_kind(self, kind: str) -> list[str]:
        """Return the names of the processes of a kind."""
        return [name for name in self.processes if name.startswith(kind)]

    def call(
        self,
        name: str,
        path: str,
        message: Any = None,
        headers: Mapping[str, str] | None = None,
        method: str = 'POST',
    ) -> tuple[int, Any]:
        """Call a process and return the status and the decoded JSON body."""
        raw = b'' if message is None else wire.encode(message)
        with self.http.send(
            self.addresses[name],
            path,
            raw,
            headers,
            method,
        ) as resp:
            body = resp.read()
            return resp.status_code, wire.decode(body) if body else None

    def stop(self) -> dict[str, int]:
        """Stop all gracefully, entries first; return statuses by name."""
        order = ('entry', 'sidecar', 'engine', 'plain', 'platform')
        statuses = {}
        for kind in order:
            names = self.names_of_kind(kind)
            for name in names:
                self.processes[name].send(15)
            for name in names:
                statuses[name] = self.processes[name].wait()
        return statuses

    def kill_all(self) -> None:
        """Kill all processes that still run, suspended ones included."""
        for process in self.processes.values():
            process.send(18)
            process.kill()
        self._ports.close()

    def url(self, name: str) -> str:
        """Return the URL of a process."""
        return f'http://{self.addresses[name]}'

    def _start(
        self,
        name: str,
        args: list[str],
        extra_args: list[str] | None = None,
    ) -> None:
        if name not in self.addresses:
            self.addresses[name] = self._ports.reserve()
        whole = [*args, str(self.addresses[name]), *(extra_args or [])]
        self.processes[name] = LocalProcess(name, whole, self.folder)

    def _start_role(
        self,
        name: str,
        role: str,
        raw: dict[str, Any],
        number: int,
    ) -> None:
        if name not in self.addresses:
            self.addresses[name] = self._ports.reserve()
        raw['listen'] = str(self.addresses[name])
        raw['zone'] = ZONES[number % len(ZONES)]
        path = self.folder / f'{name}.yaml'
        path.write_text(yaml.safe_dump(raw))
        args = ['cactusridge', role, str(path)]
        self.processes[name] = LocalProcess(name, args, self.folder)

    def _wait_http(self, name: str, path: str) -> None:
        outcomes: list[str] = []

        def is_answered() -> bool:  # noqa: WPS430
            try:
                reply = self.call(name, path, method='GET')
            except OSError as exc:
                outcomes.append(repr(exc))
                return False
            outcomes.append(str(reply))
            return reply[0] == 200

        try:
            wait_for(f'{name}{path}', is_answered)
        except NotReady as exc:
            exc.add_note(f'last answer: {outcomes[-1:]}')
            exc.add_note(self.processes[name].tail())
            raise

    def _wait_fleet(self, name: str) -> None:
        wait_for(f'{name} knows all', lambda: self._knows_all(name))

    def _knows_all(self, name: str) -> bool:
        reply = self.call(name, '/admin/status', None, ADMIN, 'GET')[1]
        serving = [
            report
            for report in reply['sidecars'].values()
            if report['state'] == 'serving'
        ]
        own = reply['entries'][str(self.addresses[name])]
        # An entry may become ready with settings older than the last seeded.
        current = own['version'] >= self._seeded_version
        return current and len(serving) == len(self.names_of_kind('sidecar'))
