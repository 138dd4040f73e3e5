"""How a stand-in is told over HTTP to show faults."""

from cactusridge.http.app import Route, route
from cactusridge.http.exchange import Reply, Req, json_reply
from standins.faults import Fault, FaultKind, Faults

PATH = '/control/faults'


class FaultControl:
    """Adds, clears and tells the faults of one stand-in."""

    def __init__(self, faults: Faults) -> None:
        """Control ``faults``."""
        self._faults = faults

    def routes(self) -> list[Route]:
        """Return the routes of this control."""
        return [
            route('POST', PATH, self.add),
            route('DELETE', PATH, self.clear),
            route('GET', '/control/hits', self.hits),
        ]

    def add(self, req: Req) -> Reply:
        """Show a fault from now on."""
        message = req.json()
        message['kind'] = FaultKind(message['kind'])
        self._faults.add(Fault(**message))
        return json_reply({})

    def clear(self, req: Req) -> Reply:
        """Show no fault any more."""
        self._faults.clear()
        return json_reply({})

    def hits(self, req: Req) -> Reply:
        """Return the calls that have shown a fault."""
        return json_reply({'hits': self._faults.hits})
