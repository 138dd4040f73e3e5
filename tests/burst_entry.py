"""One entry of a simulated burst without a network."""

from types import SimpleNamespace
from typing import Any

import orjson

from cactusridge.dispatch.attempts import Attempts
from cactusridge.dispatch.capacity import CapacityEstimates
from cactusridge.dispatch.capacity_sharing import CapacitySharing
from cactusridge.dispatch.catalog import RouteKind
from cactusridge.dispatch.online_call import Progress
from cactusridge.dispatch.placement import Placing
from cactusridge.dispatch.policies import make_policies
from cactusridge.http.client import parse_address
from cactusridge.peers.audience import Audience
from cactusridge.peers.batch_sharing import BatchSharing
from cactusridge.peers.cell_rules import CellRule
from cactusridge.peers.cells import Cells
from cactusridge.peers.entry_status import EntryStatus
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.loads import LoadTable
from cactusridge.routing.outliers import NoEjection
from cactusridge.startup.models import DirectPolicy
from tests.cells_play import SERVICE

# Mean time that a request holds a slot, and the longest wait for a slot of a
# request that is on time, in seconds.
HOLD_S = 0.6
AIM_S = 0.3
# Time from a request to its deadline, in seconds.
LEFT_S = 5


class Entry:
    """One entry of the simulation."""

    def __init__(
        self,
        play: Any,
        place: Any,
        rule: CellRule,
        placing: Placing,
        hold_s: float = HOLD_S,
    ) -> None:
        """Create an entry that knows all entries and replicas of ``play``.

        ``play`` is a BurstPlay or a QueuePlay. ``hold_s`` is the mean time in
        seconds that a request holds a slot, as the entry has measured it.
        """
        self.zone = place.zone
        self.received = 0
        self.loads = LoadTable(play.clock)
        self._play = play
        self.address = parse_address(place.name)
        self.cells = Cells(
            place.name,
            play.fleet,
            lambda: play.places,
            rule,
            play.clock,
        )
        sharing = BatchSharing(play.fleet, self.cells)
        self.exchange = PeerExchange(
            self,
            self.loads,
            Audience(self.address, self.loads, play.addresses, sharing),
            self.cells,
            lambda: EntryStatus(1, True, 1),
        )
        self._runner = SimpleNamespace(
            loads=self.loads,
            health=NoEjection(),
            capacity=SimpleNamespace(
                queued_slot_s=lambda _: hold_s, unusual_speeds=dict
            ),
        )
        policies = make_policies(DirectPolicy())._replace(placing=placing)
        self.attempts = Attempts(
            play.fleet,
            self.cells,
            self._runner,
            self.zone,
            play.clock,
            None,
            policies,
        )
        self.attempts._rng = play.rng
        self.exchange._audience._rng = play.rng

    def use_capacity(self, capacity: CapacityEstimates, shares: bool) -> None:
        """Use these estimates; share them with peers if ``shares`` is set."""
        self.capacity = capacity
        self._runner.capacity = capacity
        if shares:
            CapacitySharing(self.exchange, capacity)

    def use_policies(self, **changed: Any) -> None:
        """Replace some of the policies, given by their names."""
        policies = self.attempts._policies
        self.attempts._policies = policies._replace(**changed)

    def choose(self, left_s: float = LEFT_S):
        """Return the replica for one request; raises Overloaded.

        The request has ``left_s`` seconds to its deadline.
        """
        share = SimpleNamespace(service=SERVICE, weight=1)
        route = SimpleNamespace(
            shares=[share],
            kind=RouteKind.streaming,
            target_latency_s=AIM_S,
        )
        deadline_at = self._play.clock.monotonic() + left_s
        call = SimpleNamespace(route=route, deadline_at=deadline_at)
        return self.attempts.choose(call, Progress())

    def send(self, targets, message):
        """Deliver a message of the exchange, in place of its socket."""
        raw = orjson.dumps(message)
        for target in targets:
            self._play.entries[target].receive(raw, self.address)

    def receive(self, raw, sender):
        """Receive one datagram."""
        self.received += 1
        self.exchange._handle(raw, sender)
