"""One upstream of one sidecar, as this entry knows it."""

from cactusridge.http.client import Address
from cactusridge.orders import ServiceReport, WorkClass
from cactusridge.routing.candidates import Candidate

NO_LOAD = ServiceReport(
    online_running=0,
    online_waiting=0,
    batch_running=0,
    batch_waiting=0,
    online_limit=1,
    batch_limit=0,
    wait_s=0,
    token_s=0,
)


class Replica:
    """A service at a sidecar: its last report and own requests there."""

    def __init__(self, address: Address, zone: str, service: str) -> None:
        """Know the replica before its first report."""
        self.address = address
        self.zone = zone
        self.service = service
        self.key = f'{address}{service}'
        self.report = NO_LOAD
        self.reported_at = float(0)
        self.own = {work: 0 for work in WorkClass}
        self._own_then = 0

    def note_report(self, report: ServiceReport, now: float) -> None:
        """Take a report received at the monotonic time ``now``."""
        self.report = report
        self.reported_at = now
        self._own_then = self.own[WorkClass.online]

    def candidate(self, now: float, sharers: int) -> Candidate:
        """Return the replica as the choice for online work sees it."""
        report = self.report
        return Candidate(
            key=self.key,
            zone=self.zone,
            own=self.own[WorkClass.online],
            reported=report['online_running'] + report['online_waiting'],
            own_then=self._own_then,
            age_s=now - self.reported_at,
            limit=report['online_limit'],
            wait_s=report['wait_s'],
            sharers=sharers,
        )

    def batch_share(self, entries: int) -> int:
        """Return how many batch items this entry may have there.

        Twice what may run now, so that the next is ready beside the
        engine when a slot comes free; shared among the entries.
        """
        return max(1, self.report['batch_limit'] * 2 // max(1, entries))
