"""The parts of an entry that serve online requests."""

from cactusridge.clock import Clock
from cactusridge.dispatch.capacity_sharing import CapacitySharing
from cactusridge.dispatch.online import OnlineDispatcher
from cactusridge.dispatch.policies import make_policies
from cactusridge.dispatch.run import Runner
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.peers.cells import Cells
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.stream_origin_messages import StreamOriginMessages
from cactusridge.platform.catalog_holder import CatalogHolder
from cactusridge.platform.load_report import LoadReport
from cactusridge.platform.queue_parts import QueueParts
from cactusridge.startup.models import DirectEntrySettings
from cactusridge.stream_origins.origin_holders import OriginHolders
from cactusridge.stream_origins.origin_records import SharedOrigins


class OnlineParts:
    """The dispatcher of online requests, its queue and the report of both."""

    def __init__(
        self,
        cfg: DirectEntrySettings,
        fleet: FleetView,
        cells: Cells,
        runner: Runner,
        holder: CatalogHolder,
        clock: Clock,
    ) -> None:
        """Send requests to the replicas of ``fleet`` through ``runner``."""
        holders = OriginHolders(cells.entries)
        self._origins = SharedOrigins(str(cfg.peer_address), holders)
        self.dispatcher = OnlineDispatcher(
            fleet,
            cells,
            runner,
            cfg.zone,
            clock,
            make_policies(cfg.policy),
            self._origins,
        )
        self.queue = QueueParts(
            cfg.policy, self.dispatcher, cells, holder, clock
        )
        self.load_report = LoadReport(fleet, cells, runner, self.queue.queueing)
        self._runner = runner

    def connect_peers(self, peers: PeerExchange) -> None:
        """Exchange observations of replicas and streams with ``peers``."""
        CapacitySharing(peers, self._runner.capacity)
        StreamOriginMessages(peers, self._origins)
        self.queue.connect(self._runner.loads, peers)
