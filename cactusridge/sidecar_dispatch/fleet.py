"""Keeps the entries and sidecars known to this entry.

One greenlet probes each sidecar.
"""

import functools

from gevent.event import Event
from gevent.pool import Group

from cactusridge import events, logs
from cactusridge.background import run_every, run_forever
from cactusridge.errors import StoreUnavailable
from cactusridge.http.client import Address, parse_address
from cactusridge.http.unpaused_time import unpaused_clock
from cactusridge.orders import SidecarReport
from cactusridge.routing.membership import HostStatus
from cactusridge.routing.subset import choose_subset
from cactusridge.settings.tree import SettingsTree
from cactusridge.sidecar_dispatch.prober import SidecarProber
from cactusridge.sidecar_dispatch.replica import Replica
from cactusridge.sidecar_dispatch.sidecar_client import SidecarClient
from cactusridge.sidecar_dispatch.sidecar_host import SidecarHost
from cactusridge.startup.models import EntrySettings
from cactusridge.store.host_list import Host, HostList

SIDECAR = 'sidecar'
ENTRY = 'entry'


class Fleet:
    """Tracks entries and sidecars.

    The sources are the host list, which lags behind, and the reports that
    sidecars send themselves.
    """

    def __init__(
        self,
        cfg: EntrySettings,
        host_list: HostList,
        client: SidecarClient,
        tree: SettingsTree,
        greenlets: Group,
    ) -> None:
        """Start with the seed peers, which serve until the first poll."""
        self.cfg = cfg
        self.changed = Event()
        self._host_list = host_list
        self._client = client
        self._clock = unpaused_clock()
        self._spawn = greenlets.spawn
        self._prober = SidecarProber(cfg, client, tree, self._clock)
        self._sidecars: dict[Address, SidecarHost] = {}
        tree.follow(self._on_change)
        self._entries: set[Address] = {
            parse_address(text) for text in cfg.seed_peers
        }

    def start(self) -> None:
        """Start the greenlet that polls the host list."""
        # The clock must not stop between probes, because the silence of a
        # sidecar is measured from one of its answers to the next.
        self._clock.hold()
        self._spawn(run_every, self.cfg.hosts_poll_s, self.refresh)

    def now(self) -> float:
        """Return the time in seconds on the clock that dates the reports."""
        return self._clock.monotonic()

    def refresh(self) -> None:
        """Poll the host list once and update the entries and sidecars.

        Nothing changes if the store is unavailable.
        """
        try:
            hosts = self._host_list.hosts()
        except StoreUnavailable:
            return
        self._update_entries(hosts)
        self._update_sidecars(hosts)

    def peers(self) -> list[Address]:
        """Return the other entries."""
        return sorted(self._entries - {self.cfg.address})

    def entry_names(self) -> list[str]:
        """Return the addresses of all entries, including this one, sorted."""
        return sorted(map(str, self._entries | {self.cfg.address}))

    def sidecars(self) -> list[SidecarHost]:
        """Return the sidecars that this entry tracks."""
        return list(self._sidecars.values())

    def host(self, address: Address) -> SidecarHost | None:
        """Return the sidecar at ``address``, or None if it is not tracked."""
        return self._sidecars.get(address)

    def replicas(self, service: str) -> list[Replica]:
        """Return the replicas of ``service`` that accept new work."""
        now = self.now()
        return [
            host.replicas[service]
            for host in self._sidecars.values()
            if service in host.replicas
            and host.status(now) == HostStatus.serving
        ]

    def report_due(self, host: SidecarHost) -> bool:
        """Return whether the sidecar's next reply should include a report."""
        last_report_at = host.last_report_at
        return (
            last_report_at is None
            or self.now() - last_report_at > self.cfg.report_age_s
        )

    def note_report(self, address: Address, report: SidecarReport) -> None:
        """Store a report that a sidecar sent with a probe or a reply."""
        host = self._sidecars.get(address)
        if host is None:
            return
        if report['draining'] and not host.draining:
            logs.emit(events.REPLICA_LEAVING, host=str(address))
        host.note_report(report, self.now())
        if self._prober.is_outdated(host, report):
            host.wake.set()
        self.changed.set()

    def _update_entries(self, hosts: list[Host]) -> None:
        listed = {host.address for host in hosts if host.role == ENTRY}
        if listed:
            self._entries = listed | {self.cfg.address}

    def _update_sidecars(self, hosts: list[Host]) -> None:
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
            self._track(listed[name], now)
        wanted = {listed[name].address for name in chosen}
        for address in set(self._sidecars) - wanted:
            self._remove_if_gone(address, now)

    def _track(self, host: Host, now: float) -> None:
        known = self._sidecars.get(host.address)
        if known is not None:
            known.note_listed(host.state, now)
            return
        found = SidecarHost(host, now, self.cfg.probe_s)
        self._sidecars[host.address] = found
        logs.emit(events.REPLICA_FOUND, host=str(host.address))
        self._spawn(
            run_forever,
            functools.partial(self._probe, found),
            functools.partial(self._is_tracked, found),
        )

    def _remove_if_gone(self, address: Address, now: float) -> None:
        host = self._sidecars[address]
        host.note_listed(None, now)
        if host.status(now) == HostStatus.removed:
            self._sidecars.pop(address)
            self._client.drop(address)
            logs.emit(events.REPLICA_GONE, host=str(address))

    def _probe(self, host: SidecarHost) -> None:
        """Probe a sidecar once, then wait until the next probe is due."""
        report = self._prober.fetch_report(host)
        if report is not None:
            self.note_report(host.address, report)
        self._prober.wait_until_due(host)

    def _is_tracked(self, host: SidecarHost) -> bool:
        return self._sidecars.get(host.address) is host

    def _on_change(self, path: str) -> None:
        for host in self._sidecars.values():
            if path in host.replicas:
                host.wake.set()
