"""A sidecar as this entry knows it: list's word, own word, replicas."""

from gevent.event import Event

from cactusridge.http.client import Address
from cactusridge.orders import SidecarReport
from cactusridge.routing.membership import Belief, Evidence, judge
from cactusridge.sidecar_dispatch.replica import Replica
from cactusridge.store.host_list import Host, HostState


class SidecarHost:
    """One sidecar: what was heard of it and from it."""

    def __init__(self, host: Host, now: float, probe_s: float) -> None:
        """Know ``host`` from the list at the monotonic time ``now``."""
        self.wake = Event()
        self._probe_s = probe_s
        self.address: Address = host.address
        self.zone = host.zone
        self.listed: HostState | None = host.state
        self.listed_at = now
        self.heard_at: float | None = None
        self.incarnation = ''
        self.draining = False
        self.settings_version = 0
        self.replicas = {
            service: Replica(host.address, host.zone, service)
            for service in host.services
        }

    def note_listed(self, state: HostState | None, now: float) -> None:
        """Take the list's word; None when it is not listed any more."""
        self.listed = state
        if state is not None:
            self.listed_at = now

    def note_report(self, report: SidecarReport, now: float) -> None:
        """Take the sidecar's own word."""
        self.heard_at = now
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

    def belief(self, now: float) -> Belief:
        """Return what to make of this host."""
        heard_s = None if self.heard_at is None else now - self.heard_at
        return judge(
            Evidence(
                listed=self.listed,
                unlisted_s=now - self.listed_at,
                heard_s=heard_s,
                draining=self.draining,
                probe_s=self._probe_s,
            ),
        )
