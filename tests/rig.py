"""A complete fleet in one process, with servers on the loopback."""

import functools
from typing import Any

import gevent

from cactusridge.clock import SystemClock
from cactusridge.entry.app import Entry
from cactusridge.http.client import Address, Clients
from cactusridge.organisations.keys import key_digest
from cactusridge.sidecar.app import Sidecar
from cactusridge.startup.models import EntrySettings, SidecarSettings
from standins.engine import EngineStandIn
from standins.forwarder import Forwarder
from standins.local_fleet import DEFTER, YAZMAN
from standins.model import EngineSpeed
from standins.plain import PlainStandIn
from standins.platform import PlatformStandIn
from standins.ports import Ports
from standins.waiting import wait_for
from tests.refusals import Refusals
from tests.rig_calls import RigCalls
from tests.served import Served, serve

SECRET = 'internal-secret-of-tests'
BATCH = {
    'lease_s': 1.5,
    'lease_margin_s': 0.3,
    'scan_s': 0.05,
    'chunk_items': 8,
    'span_chunks': 4,
    'shards': 4,
}


class Rig(RigCalls):
    """A platform, engines, sidecars and entries for tests.

    Tests can disturb the links to sidecars and upstreams.
    """

    def __init__(
        self,
        sidecars: int = 2,
        entries: int = 2,
        read_timeout_s: float = 2,
    ) -> None:
        """Start everything and wait until it is ready.

        Sidecars abort a request after ``read_timeout_s`` seconds without
        a byte from the upstream. An unstreamed response sends its first
        byte only at its end.
        """
        self.read_timeout_s = read_timeout_s
        self.http = Clients(2, 30)
        self._ports = Ports()
        self.platform = PlatformStandIn(100_000, 100_000)
        self.platform.host_lag_s = 0
        self.store = serve(self.platform, self.platform, self._ports.reserve())
        self.engines: list[Served] = []
        self.sidecars: list[Served] = []
        self.entries: list[Served] = []
        self.forwarders: list[Forwarder] = []
        self.refusals = Refusals()
        plain = PlainStandIn()
        self.plain = serve(plain, plain, self._ports.reserve())
        self.hosts: dict[str, dict[str, Any]] = {}
        for _ in range(sidecars):
            self.add_sidecar()
        for _ in range(entries):
            self.add_entry()
        self.seed()
        self.wait_ready()

    def add_sidecar(self, **options: Any) -> Served:
        """Start an engine and its sidecar, and publish the sidecar."""
        checks = options.pop('checks_fencing', False)
        engine = EngineStandIn('yazman', EngineSpeed(), checks)
        self.engines.append(serve(engine, engine, self._ports.reserve()))
        return self.start_sidecar(self.engines[-1].address, **options)

    def start_sidecar(self, engine: Address, **options: Any) -> Served:
        """Start a sidecar for an engine and for the plain service."""
        to_engine = self.forward(engine)
        plain = self.forward(self.plain.address)
        cfg = SidecarSettings.from_values(
            listen=str(self._ports.reserve()),
            zone='a',
            internal_secret=SECRET,
            heartbeat_s=0.1,
            upstreams=[
                {
                    'service': YAZMAN,
                    'address': str(to_engine),
                    'read_timeout_s': self.read_timeout_s,
                },
                {
                    'service': DEFTER,
                    'address': str(plain),
                    'read_timeout_s': self.read_timeout_s,
                },
            ],
            **options,
        )
        sidecar = Sidecar(cfg, SystemClock())
        served = serve(sidecar, sidecar.app, cfg.address)
        self.sidecars.append(served)
        # Entries connect to the sidecar through a link that tests can
        # disturb.
        self.list_host(self.forward(cfg.address), 'sidecar', 'live')
        return served

    def add_entry(self, **options: Any) -> Served:
        """Start an entry and publish it in the host list."""
        cfg = EntrySettings.from_values(
            listen=str(self._ports.reserve()),
            zone='a',
            internal_secret=SECRET,
            admin_token_sha256=key_digest('admin'),
            store={
                'address': str(self.store.address),
                'timeout_s': 0.5,
                'calls_per_s': 10_000,
            },
            silence_timeout_s=0.5,
            settings_poll_s=0.1,
            strikes_poll_s=0.1,
            hosts_poll_s=0.1,
            probe_s=0.1,
            report_s=60,
            batch=BATCH,
            **options,
        )
        entry = Entry(cfg, SystemClock())
        entry.start()
        served = serve(entry, entry.app, cfg.address)
        self.entries.append(served)
        self.list_host(cfg.address, 'entry', 'live')
        return served

    def kill_entry(self, served: Served) -> None:
        """Stop an entry abruptly and remove it from the host list."""
        self.entries.remove(served)
        served.server.stop(timeout=0)
        served.subject.parts.greenlets.kill()
        self.hosts.pop(str(served.address))
        self.publish()

    def kill_sidecar(self, index: int) -> None:
        """Stop the server of a sidecar abruptly; it stays in the host list."""
        self.sidecars[index].server.stop(timeout=0)

    def restart_sidecar(self, index: int) -> None:
        """Stop a sidecar abruptly and start a new one at its address."""
        old = self.sidecars[index]
        old.server.stop(timeout=0)
        sidecar = Sidecar(old.subject.cfg, SystemClock())
        self.sidecars[index] = serve(sidecar, sidecar.app, old.address)

    def leave_only(self, index: int) -> None:
        """Stop every sidecar but one and wait until the entries know it."""
        for number, served in enumerate(self.sidecars):
            if number != index:
                served.server.stop(timeout=0)
                for link in self.links(served.address):
                    self.hosts.pop(str(link.address))
                    link.stop()
        self.publish()
        for served in self.entries:
            wait_for(
                'one sidecar',
                lambda: len(served.subject.parts.fleet.sidecars()) == 1,
            )

    def let_crash(self, back_s: float) -> None:
        """Make crashed engines unreachable for ``back_s`` seconds."""
        for engine in self.engines:
            crash = functools.partial(self._crash, engine, back_s)
            engine.subject.on_crash = crash

    def crashes(self) -> int:
        """Return how often a prompt has crashed an engine."""
        return sum(engine.subject.crashes for engine in self.engines)

    def later(self, seconds: float, action: Any) -> None:
        """Run ``action`` after ``seconds``, while a call is in flight."""
        gevent.spawn_later(seconds, action)

    def forward(self, target: Address) -> Address:
        """Start a link to ``target`` that tests can disturb."""
        forwarder = Forwarder(target)
        self.forwarders.append(forwarder)
        return forwarder.start()

    def links(self, address: Address) -> list[Forwarder]:
        """Return the links whose target is ``address``."""
        return [each for each in self.forwarders if each.target == address]

    def list_host(self, address: Address, role: str, state: str) -> None:
        """Add a host to the platform's host list, or replace it."""
        self.hosts[str(address)] = {
            'address': str(address),
            'zone': 'a',
            'role': role,
            'state': state,
            'services': [YAZMAN, DEFTER] if role == 'sidecar' else [],
        }
        self.publish()

    def publish(self) -> None:
        """Publish the host list on the platform."""
        self.platform.hosts = [dict(host) for host in self.hosts.values()]

    def wait_ready(self) -> None:
        """Wait until every entry has the settings and all sidecars."""
        for served in self.entries:
            self.wait_entry(served.subject)

    def wait_entry(self, entry: Entry) -> None:
        """Wait until one entry has the settings and all sidecars."""
        wait_for('ready', lambda: self.ready(entry))

    def ready(self, entry: Entry) -> bool:
        """Return whether an entry has the settings and all sidecars."""
        known = len(entry.parts.fleet.replicas(YAZMAN))
        listed = [each['role'] for each in self.hosts.values()]
        version = self.platform.table.rows['settings/head'][0]['version']
        in_force = entry.parts.tree.version == version
        return in_force and known == listed.count('sidecar')

    def close(self) -> None:
        """Stop all servers and links."""
        for served in self.entries:
            served.subject.parts.greenlets.kill()
        for served in (*self.entries, *self.sidecars, *self.engines):
            served.server.stop(timeout=0)
        self.plain.server.stop(timeout=0)
        self.store.server.stop(timeout=0)
        for forwarder in self.forwarders:
            forwarder.stop()
        self._ports.close()
        gevent.sleep(0)

    def _crash(self, engine: Served, back_s: float) -> None:
        for link in self.links(engine.address):
            link.refusing = True
            self.later(back_s, functools.partial(setattr, link, 'refusing', 0))
