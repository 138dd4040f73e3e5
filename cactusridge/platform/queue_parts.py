"""The parts of an entry at which requests wait for a free slot."""

import random

import gevent

from cactusridge.background import run_forever
from cactusridge.clock import Clock
from cactusridge.dispatch.online import OnlineDispatcher
from cactusridge.dispatch.queueing import NoQueueing, Queueing
from cactusridge.peers.cells import Cells
from cactusridge.peers.exchange import PeerExchange
from cactusridge.peers.loads import LoadTable
from cactusridge.platform.catalog_holder import CatalogHolder
from cactusridge.queueing.admission_queue import AdmissionQueue
from cactusridge.queueing.call_rules import CallRules
from cactusridge.queueing.policies import QUEUEINGS
from cactusridge.startup.models import DirectPolicy
from cactusridge.work_meter import Part, spawn


class QueueParts:
    """The configured queueing policy, connected to the counts of requests."""

    def __init__(
        self,
        names: DirectPolicy,
        online: OnlineDispatcher,
        cells: Cells,
        holder: CatalogHolder,
        clock: Clock,
    ) -> None:
        """Let requests of ``online`` wait if ``names`` selects it."""
        self._queue: AdmissionQueue | None = None
        self.queueing: Queueing = NoQueueing()
        if QUEUEINGS[names.queueing] is AdmissionQueue:
            self._queue = AdmissionQueue(
                online.has_free_slot,
                cells,
                CallRules(holder.current),
                clock,
                random.Random(),  # noqa: S311
            )
            self.queueing = self._queue
        online.queue_with(self.queueing)

    def connect(self, loads: LoadTable, peers: PeerExchange) -> None:
        """Start waiting requests when ``loads`` or those of peers change."""
        if self._queue is not None:
            loads.on_change(self._queue.on_change)
            peers.on_loads(self._queue.on_change)

    def start(self) -> None:
        """Start the greenlet that starts waiting requests."""
        if self._queue is not None:
            spawn(Part.queueing, run_forever, self._queue.step)

    def close_after(self, delay_s: float) -> None:
        """Refuse all waiting requests ``delay_s`` seconds from now.

        Their callers return at once. After the readiness delay the load
        balancer no longer sends them to this entry.
        """
        gevent.spawn_later(delay_s, self.queueing.close)
