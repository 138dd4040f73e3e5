"""One upstream of one sidecar, as known to this entry."""

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
    """A service at a sidecar, with its last report.

    ``own`` counts this entry's requests in flight there by work class.
    """

    def __init__(self, address: Address, zone: str, service: str) -> None:
        """Start with an empty report."""
        self.address = address
        self.zone = zone
        self.service = service
        self.key = f'{address}{service}'
        self.report = NO_LOAD
        self.reported_at = float(0)
        self.own = {work: 0 for work in WorkClass}
        self._own_at_report = 0

    def note_report(self, report: ServiceReport, now: float) -> None:
        """Store a report received at the monotonic time ``now``."""
        self.report = report
        self.reported_at = now
        self._own_at_report = self.own[WorkClass.online]

    def candidate(self, now: float, sharers: int) -> Candidate:
        """Return the replica as a candidate for an online request.

        ``now`` is the monotonic time in seconds, ``sharers`` the number of
        entries that send requests to the replica.
        """
        report = self.report
        return Candidate(
            key=self.key,
            zone=self.zone,
            own=self.own[WorkClass.online],
            reported=report['online_running'] + report['online_waiting'],
            own_at_report=self._own_at_report,
            age_s=now - self.reported_at,
            limit=report['online_limit'],
            wait_s=report['wait_s'],
            sharers=sharers,
        )

    def batch_item_limit(self, entries: int) -> int:
        """Return how many batch items this entry may have in flight here.

        All entries together may send twice as many items as may run now,
        so that the next item is already waiting at the sidecar when a
        slot becomes free. Each of the ``entries`` gets an equal share.
        """
        return max(1, self.report['batch_limit'] * 2 // max(1, entries))
