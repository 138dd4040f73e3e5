"""The hosts this entry knows; one greenlet probes each sidecar."""

import functools

from gevent.event import Event
from gevent.pool import Group

from cactusridge import events, logs
from cactusridge.background import keep_doing, keep_doing_every
from cactusridge.errors import StoreUnavailable
from cactusridge.http.awake import listening_clock
from cactusridge.http.client import Address, parse_address
from cactusridge.orders import SidecarReport
from cactusridge.routing.membership import Belief
from cactusridge.routing.subset import choose_subset
from cactusridge.settings.tree import SettingsTree
from cactusridge.sidecar_dispatch.peer_host import SidecarHost
from cactusridge.sidecar_dispatch.prober import SidecarProber
from cactusridge.sidecar_dispatch.replica import Replica
from cactusridge.sidecar_dispatch.sidecar_client import SidecarClient
from cactusridge.startup.models import EntrySettings
from cactusridge.store.host_list import Host, HostList

SIDECAR = 'sidecar'
ENTRY = 'entry'


class Fleet:
    """Entries and sidecars, from the lagging list and their own word."""

    def __init__(
        self,
        cfg: EntrySettings,
        host_list: HostList,
        client: SidecarClient,
        tree: SettingsTree,
        greenlets: Group,
    ) -> None:
        """Know nobody but the seed peers before the first poll."""
        self.cfg = cfg
        self.changed = Event()
        self._host_list = host_list
        self._client = client
        self._clock = listening_clock()
        self._spawn = greenlets.spawn
        self._prober = SidecarProber(cfg, client, tree, self._clock)
        self._sidecars: dict[Address, SidecarHost] = {}
        tree.follow(self._on_change)
        self._entries: set[Address] = {
            parse_address(text) for text in cfg.seed_peers
        }

    def start(self) -> None:
        """Follow the host list, in greenlets of its own."""
        # Silence is measured from one answer to the next.
        self._clock.hold()
        self._spawn(keep_doing_every, self.cfg.hosts_poll_s, self.refresh)

    def now(self) -> float:
        """Return the seconds by which reports of sidecars age."""
        return self._clock.monotonic()

    def refresh(self) -> None:
        """Take the host list once; keep what is known if it is down."""
        try:
            hosts = self._host_list.hosts()
        except StoreUnavailable:
            return
        self._take_entries(hosts)
        self._take_sidecars(hosts)

    def peers(self) -> list[Address]:
        """Return the other entries."""
        return sorted(self._entries - {self.cfg.address})

    def entry_names(self) -> list[str]:
        """Return all entries, this one among them, by address."""
        return sorted(map(str, self._entries | {self.cfg.address}))

    def sidecars(self) -> list[SidecarHost]:
        """Return the sidecars this entry knows."""
        return list(self._sidecars.values())

    def host(self, address: Address) -> SidecarHost | None:
        """Return the sidecar at ``address``, or None."""
        return self._sidecars.get(address)

    def replicas(self, service: str) -> list[Replica]:
        """Return the replicas of ``service`` that take new work."""
        now = self.now()
        return [
            host.replicas[service]
            for host in self._sidecars.values()
            if service in host.replicas and host.belief(now) == Belief.serving
        ]

    def report_due(self, host: SidecarHost) -> bool:
        """Tell whether a sidecar's next reply should bring its report."""
        heard_at = host.heard_at
        return heard_at is None or self.now() - heard_at > self.cfg.report_age_s

    def note_report(self, address: Address, report: SidecarReport) -> None:
        """Take a sidecar's own word, from a probe or a reply."""
        host = self._sidecars.get(address)
        if host is None:
            return
        if report['draining'] and not host.draining:
            logs.emit(events.REPLICA_LEAVING, host=str(address))
        host.note_report(report, self.now())
        if self._prober.behind(host, report):
            host.wake.set()
        self.changed.set()

    def _take_entries(self, hosts: list[Host]) -> None:
        listed = {host.address for host in hosts if host.role == ENTRY}
        if listed:
            self._entries = listed | {self.cfg.address}

    def _take_sidecars(self, hosts: list[Host]) -> None:
        now = self.now()
        listed = {
            str(host.address): host for host in hosts if host.role == SIDECAR
        }
        chosen = choose_subset(
            str(self.cfg.address),
            self.entry_names(),
            list(listed),
            self.cfg.subset_size,
        )
        for name in chosen:
            self._take(listed[name], now)
        wanted = {listed[name].address for name in chosen}
        for address in set(self._sidecars) - wanted:
            self._drop_if_gone(address, now)

    def _take(self, host: Host, now: float) -> None:
        known = self._sidecars.get(host.address)
        if known is not None:
            known.note_listed(host.state, now)
            return
        found = SidecarHost(host, now, self.cfg.probe_s)
        self._sidecars[host.address] = found
        logs.emit(events.REPLICA_FOUND, host=str(host.address))
        self._spawn(
            keep_doing,
            functools.partial(self._probe, found),
            functools.partial(self._knows, found),
        )

    def _drop_if_gone(self, address: Address, now: float) -> None:
        host = self._sidecars[address]
        host.note_listed(None, now)
        if host.belief(now) == Belief.gone:
            self._sidecars.pop(address)
            self._client.drop(address)
            logs.emit(events.REPLICA_GONE, host=str(address))

    def _probe(self, host: SidecarHost) -> None:
        """Probe one sidecar once; wait until it is due again."""
        report = self._prober.ask(host)
        if report is not None:
            self.note_report(host.address, report)
        self._prober.wait_until_due(host)

    def _knows(self, host: SidecarHost) -> bool:
        return self._sidecars.get(host.address) is host

    def _on_change(self, path: str) -> None:
        for host in self._sidecars.values():
            if path in host.replicas:
                host.wake.set()
