"""Asks sidecars for their word and sends them their settings."""

import random

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError
from cactusridge.orders import SidecarReport
from cactusridge.routing.membership import Belief
from cactusridge.settings.tree import SettingsTree
from cactusridge.sidecar_dispatch.peer_host import SidecarHost
from cactusridge.sidecar_dispatch.sidecar_client import SidecarClient
from cactusridge.startup.models import EntrySettings

SPREAD = (0.8, 1.2)


class SidecarProber:
    """Probes sidecars that have been quiet, or whose settings changed."""

    def __init__(
        self,
        cfg: EntrySettings,
        client: SidecarClient,
        tree: SettingsTree,
        clock: Clock,
    ) -> None:
        """Ask through ``client``; send what is in force in ``tree``."""
        self._cfg = cfg
        self._client = client
        self._tree = tree
        self._clock = clock
        self._rng = random.Random()  # noqa: S311

    def ask(self, host: SidecarHost) -> SidecarReport | None:
        """Return a sidecar's word, or None when it does not answer."""
        host.wake.clear()
        try:
            return self._probe(host)
        except CactusridgeError as exc:
            self._note_silence(host, exc)
        return None

    def wait_until_due(self, host: SidecarHost) -> None:
        """Wait until a sidecar has been quiet for long, or is woken.

        What it says in its replies spares the probe.
        """
        quiet_s = self._cfg.probe_s * self._rng.uniform(*SPREAD)
        left_s = quiet_s
        while left_s > 0 and not host.wake.wait(left_s):
            heard_at = host.heard_at or 0
            left_s = heard_at + quiet_s - self._clock.monotonic()

    def behind(self, host: SidecarHost, report: SidecarReport) -> bool:
        """Tell whether a sidecar lacks a change that concerns it."""
        return report['settings_version'] < self._slice_version(host)

    def _probe(self, host: SidecarHost) -> SidecarReport:
        version = self._slice_version(host)
        report = self._client.probe(host.address, version)
        if not self.behind(host, report):
            return report
        raws = {path: self._tree.raw(path) for path in host.replicas}
        services = {path: raw for path, raw in raws.items() if raw}
        version = self._slice_version(host)
        return self._client.push(host.address, version, services)

    def _slice_version(self, host: SidecarHost) -> int:
        """Return the version that last changed what concerns a sidecar.

        Most changes concern none of an entry's sidecars; those are in
        force there without a message.
        """
        return max(map(self._tree.node_version, host.replicas), default=0)

    def _note_silence(self, host: SidecarHost, exc: CactusridgeError) -> None:
        if host.heard_at is None:
            return
        if host.belief(self._clock.monotonic()) == Belief.silent:
            logs.emit(
                events.REPLICA_SILENT,
                host=str(host.address),
                error=str(exc),
            )
