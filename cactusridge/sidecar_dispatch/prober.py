"""Requests reports from sidecars and sends them their settings."""

import random

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import CactusridgeError
from cactusridge.orders import SidecarReport
from cactusridge.routing.membership import HostStatus
from cactusridge.settings.tree import SettingsTree
from cactusridge.sidecar_dispatch.sidecar_client import SidecarClient
from cactusridge.sidecar_dispatch.sidecar_host import SidecarHost
from cactusridge.startup.models import EntrySettings

PROBE_JITTER = (0.8, 1.2)


class SidecarProber:
    """Probes sidecars without a recent report or with outdated settings."""

    def __init__(
        self,
        cfg: EntrySettings,
        client: SidecarClient,
        tree: SettingsTree,
        clock: Clock,
    ) -> None:
        """Probe through ``client``; send the settings in ``tree``."""
        self._cfg = cfg
        self._client = client
        self._tree = tree
        self._clock = clock
        self._rng = random.Random()  # noqa: S311

    def fetch_report(self, host: SidecarHost) -> SidecarReport | None:
        """Return a sidecar's report, or None if the probe failed."""
        host.wake.clear()
        try:
            return self._probe(host)
        except CactusridgeError as exc:
            self._log_silence(host, exc)
        return None

    def wait_until_due(self, host: SidecarHost) -> None:
        """Wait until the next probe of a sidecar is due.

        A probe is due when ``host.wake`` is set, or when no report has
        been received for about ``probe_s`` seconds. Reports in replies to
        orders also count, so that busy sidecars need no probes.
        """
        quiet_s = self._cfg.probe_s * self._rng.uniform(*PROBE_JITTER)
        left_s = quiet_s
        while left_s > 0 and not host.wake.wait(left_s):
            last_report_at = host.last_report_at or 0
            left_s = last_report_at + quiet_s - self._clock.monotonic()

    def is_outdated(self, host: SidecarHost, report: SidecarReport) -> bool:
        """Return whether a sidecar lacks a change to its own settings."""
        return report['settings_version'] < self._relevant_version(host)

    def _probe(self, host: SidecarHost) -> SidecarReport:
        version = self._relevant_version(host)
        report = self._client.probe(host.address, version)
        if not self.is_outdated(host, report):
            return report
        raws = {path: self._tree.raw(path) for path in host.replicas}
        services = {path: raw for path, raw in raws.items() if raw}
        version = self._relevant_version(host)
        return self._client.push(host.address, version, services)

    def _relevant_version(self, host: SidecarHost) -> int:
        """Return the version of the last change to a sidecar's settings.

        Most changes concern none of the sidecars of an entry. Sidecars
        need no message about those.
        """
        return max(map(self._tree.node_version, host.replicas), default=0)

    def _log_silence(self, host: SidecarHost, exc: CactusridgeError) -> None:
        if host.last_report_at is None:
            return
        if host.status(self._clock.monotonic()) == HostStatus.silent:
            logs.emit(
                events.REPLICA_SILENT,
                host=str(host.address),
                error=str(exc),
            )
