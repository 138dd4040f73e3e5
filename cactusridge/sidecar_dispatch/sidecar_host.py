"""The state of one sidecar and its replicas as known to this entry."""

from gevent.event import Event

from cactusridge.http.client import Address
from cactusridge.orders import SidecarReport
from cactusridge.routing.membership import Evidence, HostStatus, host_status
from cactusridge.sidecar_dispatch.replica import Replica
from cactusridge.store.host_list import Host, HostState


class SidecarHost:
    """A sidecar with its state in the host list and its last report.

    ``listed`` is None once the sidecar is missing from the host list.
    ``listed_at`` and ``last_report_at`` are in monotonic seconds.
    """

    def __init__(self, host: Host, now: float, probe_s: float) -> None:
        """Track ``host``, found in the host list at monotonic time ``now``.

        ``probe_s`` is the interval between probes, in seconds.
        """
        self.wake = Event()
        self._probe_s = probe_s
        self.address: Address = host.address
        self.zone = host.zone
        self.listed: HostState | None = host.state
        self.listed_at = now
        self.last_report_at: float | None = None
        self.incarnation = ''
        self.draining = False
        self.settings_version = 0
        self.replicas = {
            service: Replica(host.address, host.zone, service)
            for service in host.services
        }

    def note_listed(self, state: HostState | None, now: float) -> None:
        """Store the state in the host list at the monotonic time ``now``.

        ``state`` is None if the sidecar is missing from the list.
        """
        self.listed = state
        if state is not None:
            self.listed_at = now

    def note_report(self, report: SidecarReport, now: float) -> None:
        """Store a report of the sidecar received at monotonic time ``now``."""
        self.last_report_at = now
        self.incarnation = report['incarnation']
        self.draining = report['draining']
        self.settings_version = report['settings_version']
        for service, load in report['services'].items():
            if service not in self.replicas:
                self.replicas[service] = Replica(
                    self.address,
                    self.zone,
                    service,
                )
            self.replicas[service].note_report(load, now)

    def status(self, now: float) -> HostStatus:
        """Return whether the sidecar serves, leaves, is silent or is gone."""
        report_age_s = (
            None if self.last_report_at is None else now - self.last_report_at
        )
        return host_status(
            Evidence(
                listed=self.listed,
                unlisted_s=now - self.listed_at,
                report_age_s=report_age_s,
                draining=self.draining,
                probe_s=self._probe_s,
            ),
        )
