"""HTTP endpoints that inject faults into a stand-in."""

from cactusridge.http.app import Route, route
from cactusridge.http.exchange import Reply, Req, json_reply
from standins.faults import Fault, FaultKind, Faults

PATH = '/control/faults'


class FaultControl:
    """Adds, clears and reports the faults of one stand-in."""

    def __init__(self, faults: Faults) -> None:
        """Create the endpoints that control ``faults``."""
        self._faults = faults

    def routes(self) -> list[Route]:
        """Return the routes of the fault endpoints."""
        return [
            route('POST', PATH, self.add),
            route('DELETE', PATH, self.clear),
            route('GET', '/control/hits', self.hits),
        ]

    def add(self, req: Req) -> Reply:
        """Add the fault that the request describes."""
        message = req.json()
        message['kind'] = FaultKind(message['kind'])
        self._faults.add(Fault(**message))
        return json_reply({})

    def clear(self, req: Req) -> Reply:
        """Remove all active faults."""
        self._faults.clear()
        return json_reply({})

    def hits(self, req: Req) -> Reply:
        """Return the calls in which a fault was applied."""
        return json_reply({'hits': self._faults.hits})
