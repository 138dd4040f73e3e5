"""The load of an entry's replicas and its waiting requests, for operators."""

from collections.abc import Iterator
from typing import Any

from cactusridge.dispatch.queueing import Queueing
from cactusridge.dispatch.run import Runner
from cactusridge.errors import NotFound
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.replica import Replica
from cactusridge.http.exchange import Reply, Req, json_reply
from cactusridge.peers.cells import Cells

LOAD_PATH = '/load'
# Decimal places of the numbers in a report: times to 0.1 ms.
DIGITS = 4
# The fields of an estimate, without the incarnation.
ESTIMATE_FIELDS = ('slot_s', 'speed', 'samples', 'age_s')


class LoadReport:
    """Reports the state by which an entry places and refuses requests."""

    def __init__(
        self,
        fleet: FleetView,
        cells: Cells,
        runner: Runner,
        queueing: Queueing,
    ) -> None:
        """Report what ``runner`` keeps and who waits in ``queueing``."""
        self._fleet = fleet
        self._cells = cells
        self._runner = runner
        self._queueing = queueing

    def serve(self, req: Req) -> Reply:
        """Answer ``GET /load``, for one service with ``?service=``.

        Raises NotFound if this entry does not know the service.
        """
        known = self._services()
        wanted = req.query('service')
        if wanted and wanted not in known:
            raise NotFound(f'this entry knows no service {wanted}')
        services = [wanted] if wanted else sorted(known)
        return json_reply(
            {
                'entry': self._cells.name,
                'cell': self._cells.local_cell,
                'services': [self._service(each) for each in services],
            },
        )

    def _services(self) -> set[str]:
        waiting = {each.service for each in self._queueing.summary()}
        return self._fleet.services() | waiting

    def _service(self, service: str) -> dict[str, Any]:
        waiting = [
            {
                'organisation': each.organisation,
                'priority': each.priority,
                'count': each.count,
                'oldest_s': round(each.oldest_s, DIGITS),
            }
            for each in self._queueing.summary()
            if each.service == service
        ]
        return {
            'service': service,
            'replicas': list(self._replicas(service)),
            'waiting': waiting,
        }

    def _replicas(self, service: str) -> Iterator[dict[str, Any]]:
        ready = self._fleet.ready(service)
        selectable = self._runner.health.selectable(
            [each.incarnation for each in ready]
        )
        estimates = {
            each.incarnation: each
            for each in self._runner.capacity.of_service(service)
        }
        for replica in ready:
            key = replica.incarnation
            estimate = estimates.get(key)
            yield {
                **self._counts(replica),
                'ejected': key not in selectable,
                **{
                    name: _rounded(getattr(estimate, name, None))
                    for name in ESTIMATE_FIELDS
                },
            }

    def _counts(self, replica: Replica) -> dict[str, Any]:
        """Return a replica's place and the requests there.

        The counts are those of all entries of its cell only if these send
        them to this entry.
        """
        key = replica.incarnation
        loads = self._runner.loads
        load = loads.total_at(key)
        local = key in self._cells.of_service(replica.service).local
        complete = local or key in loads.replicas_with_counts()
        return {
            'replica': replica.id,
            'zone': replica.zone,
            'cell': 'local' if local else 'remote',
            'slots': replica.slots,
            'online': load.online,
            'batch': load.batch,
            'counted': 'all entries' if complete else 'this entry',
            'loads_age_s': _rounded(loads.age_s()),
        }


def _rounded(number: float | None) -> float | None:
    return None if number is None else round(number, DIGITS)
