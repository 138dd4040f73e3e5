"""Entries run as real processes, with stand-ins in the test process."""

import base64
import contextlib
import functools
import json
import os
from http.client import HTTPConnection
from pathlib import Path
from types import MappingProxyType
from typing import Any

import yaml

from cactusridge.http.client import Address
from cactusridge.http.server import Server
from standins.forwarder import Forwarder
from standins.local_process import LocalProcess
from standins.machines.listed_replicas import ListedReplicas
from standins.machines.replica import MachineReplica
from standins.machines.store import MachineStore
from standins.ports import Ports
from standins.waiting import NotReady, wait_for

HOST = 'site.example'
ROUTE_DEFAULTS = MappingProxyType(
    {
        'host': HOST,
        'timeout_ms': 5000,
        'target_latency_ms': 300,
        'priority': 0,
        'service': 'model',
        'max_attempts': 2,
    }
)
LIMITS = MappingProxyType({'max_body_bytes': 1 << 20, 'max_header_bytes': 8000})
ROUTES = (
    {'name': 'on', 'path_prefix': '/on/', 'kind': 'streaming'},
    {
        'name': 'again',
        'path_prefix': '/again/',
        'kind': 'streaming',
        'resumable': True,
    },
    {'name': 'safe', 'path_prefix': '/safe/', 'kind': 'idempotent'},
    {'name': 'once', 'path_prefix': '/plain/', 'kind': 'non_idempotent'},
    {
        'name': 'lots',
        'path_prefix': '/lots/',
        'kind': 'batch',
        'result_due_ms': 18000,
        'max_wait_s': 60,
    },
)


class MachineSite(ListedReplicas):
    """A store and replicas of one service in this process, and entries."""

    def __init__(self, folder: Path, replicas: int, slots: int) -> None:
        """Create the store and the replicas; entries are started later."""
        self.folder = folder
        replica_ids = [f'i-{number}' for number in range(replicas)]
        super().__init__(
            MachineStore(),
            [self.make_replica(each, slots) for each in replica_ids],
            slots,
        )
        self.entries: dict[str, LocalProcess] = {}
        self.addresses: dict[str, Address] = {}
        self._ports = Ports()
        self._servers: list[Server] = []
        # The proxy between each entry and the store, by entry name.
        self.store_links: dict[str, Forwarder] = {}
        self.version = 0
        # The ``policy`` part of the entries' start settings.
        self.policy: dict[str, str] = {}
        # Path of the job items, with a place for the number of each.
        self.item_path = '/lots/{}'
        # Additional headers of every job item.
        self.item_headers: dict[str, str] = {}
        # Additional start settings of the entries.
        self.extra_settings: dict[str, Any] = {}

    def start(self) -> None:
        """Start the servers of the store and replicas; write the catalog."""
        self._store_address = self._serve(self.store.app)
        for number, replica in enumerate(self.replicas):
            link = Forwarder(self._serve(replica))
            self.replica_links.append(link)
            replica.on_crash(functools.partial(self.crash, number))
            self.register(replica, link.start())
        self.configure(ROUTES)

    def configure(
        self, routes: Any, holders: Any = None, limits: Any = None
    ) -> None:
        """Write a new version of the catalog with ``routes``.

        ``holders`` are the organisations with their keys and limits;
        ``limits`` replace some of LIMITS for the requests of callers.
        """
        self.version += 1
        message = {
            'version': self.version,
            'routes': [{**ROUTE_DEFAULTS, **route} for route in routes],
            'services': [],
            'limits': {**LIMITS, **(limits or {})},
        }
        if holders is not None:
            message['tenants'] = list(holders)
        self.store.put(('op', '', 'config'), message)

    def start_entry(self, name: str) -> None:
        """Start or restart an entry; wait until ready or raise NotReady."""
        self.spawn_entry(name)
        wait_for(f'{name} is ready', lambda: self.is_ready(name))

    def spawn_entry(self, name: str) -> None:
        """Start or restart an entry without waiting for readiness."""
        path = self.folder / f'{name}.yaml'
        if name not in self.addresses:
            path.write_text(yaml.safe_dump(self._settings(name)))
        os.environ['CACTUSRIDGE_CONFIG'] = str(path)
        self.entries[name] = LocalProcess(
            name,
            ['cactusridge.platform'],
            self.folder,
        )

    def call(
        self,
        name: str,
        method: str,
        target: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        source: str = '127.0.0.1',
    ) -> tuple[int, dict[str, str], bytes]:
        """Call an entry from ``source``; return status, headers and body."""
        conn = HTTPConnection(
            *self.addresses[name],
            timeout=20,
            source_address=(source, 0),
        )
        sent = {'Host': HOST, **(headers or {})}
        with contextlib.closing(conn):
            self._send(name, conn, (method, target, body, sent))
            resp = conn.getresponse()
            return resp.status, dict(resp.getheaders()), resp.read()

    def submit(
        self,
        name: str,
        job_id: str,
        bodies: list[str],
        extra_headers: dict[str, str] | None = None,
    ) -> int:
        """Submit a job with an item for each of ``bodies``."""
        items = [
            {
                'id': f'{job_id}-{number}',
                'path': self.item_path.format(number),
                'headers': {'X-Model': 'm', **self.item_headers},
                'body': base64.b64encode(body.encode()).decode(),
                'tokens': 1,
            }
            for number, body in enumerate(bodies)
        ]
        raw = json.dumps({'items': items}).encode()
        kind = {'Content-Type': 'application/json'}
        sent = {'X-Attempt-Id': job_id, **kind, **(extra_headers or {})}
        return self.call(name, 'POST', '/lots/x', raw, sent)[0]

    def results(self, name: str, job_id: str) -> list[dict[str, str]]:
        """Return the results of a job that an entry lists now."""
        found: list[dict[str, str]] = []
        while True:
            target = f'/api/lots/{job_id}?after={len(found)}'
            status, _, raw = self.call(name, 'GET', target)
            page = json.loads(raw)['results'] if status == 200 else []
            if not page:
                return found
            found.extend(page)

    def is_ready(self, name: str) -> bool:
        """Return whether the readiness endpoint of an entry returns 200."""
        settings = yaml.safe_load((self.folder / f'{name}.yaml').read_text())
        host, _, port = settings['readiness_listen'].partition(':')
        conn = HTTPConnection(host, int(port), timeout=2)
        with contextlib.closing(conn), contextlib.suppress(OSError):
            conn.request('GET', '/')
            return conn.getresponse().status == 200
        return False

    def make_replica(self, replica_id: str, slots: int) -> MachineReplica:
        """Return a new replica for this site."""
        return MachineReplica(replica_id, slots)

    def stop(self) -> None:
        """Stop the processes, proxies and servers that this site started."""
        for process in self.entries.values():
            if process.process.poll() is None:
                process.kill()
        for link in (*self.store_links.values(), *self.replica_links):
            link.stop()
        for server in self._servers:
            server.stop(timeout=0)
        self._ports.close()

    def _send(
        self,
        name: str,
        conn: HTTPConnection,
        request: tuple[Any, ...],
    ) -> None:
        """Send a request; raise NotReady if the entry refuses to connect."""
        try:
            conn.request(*request)
        except ConnectionRefusedError as exc:
            raise NotReady(self.entries[name].tail()) from exc

    def _serve(self, app: Any) -> Address:
        address = self._ports.reserve()
        server = Server(address, app, 30)
        server.start()
        self._servers.append(server)
        return address

    def _settings(self, name: str) -> dict[str, Any]:
        self.addresses[name] = self._ports.reserve()
        link = Forwarder(self._store_address)
        self.store_links[name] = link
        return {
            'role': 'direct_entry',
            'name': name,
            'zone': 'z',
            'listen': str(self.addresses[name]),
            'readiness_listen': str(self._ports.reserve()),
            'peer_listen': str(self._ports.reserve()),
            'metrics_listen': str(self._ports.reserve()),
            'readiness_delay_s': 0.3,
            'drain_timeout_s': 6,
            'policy': self.policy,
            **self.extra_settings,
            'store': {
                'address': str(link.start()),
                'timeout_s': 1,
                'least_timeout_s': 0.25,
                'calls_per_s': 500,
                'max_pause_s': 0.3,
            },
        }
