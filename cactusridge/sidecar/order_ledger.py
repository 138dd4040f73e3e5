"""Records the orders of this sidecar, so that each runs at most once."""

import enum
from collections import OrderedDict

from cactusridge.clock import Clock
from cactusridge.errors import StaleOrder, Tombstoned
from cactusridge.orders import TombstoneOrder, Verdict
from cactusridge.startup.models import SidecarSettings


class OrderState(enum.StrEnum):
    """The processing state of an order."""

    queued = 'queued'
    started = 'started'
    tombstoned = 'tombstoned'


class OrderLedger:
    """Keeps the state of recent orders.

    The ledger refuses a repeated order, and it can confirm that an order
    has never run. Old orders are evicted.
    """

    def __init__(self, cfg: SidecarSettings, clock: Clock) -> None:
        """Keep up to ``ledger_entries`` orders for ``ledger_retention_s``."""
        self._retention_s = cfg.ledger_retention_s
        self._max = cfg.ledger_entries
        self._clock = clock
        self._orders: OrderedDict[str, tuple[OrderState, float]] = OrderedDict()
        self._evicted_up_to = clock.monotonic()

    def queue(self, order_id: str) -> None:
        """Record an order that waits for a slot.

        Raises Tombstoned or StaleOrder if the ledger has the order already.
        """
        self._evict_old()
        recorded = self._orders.get(order_id)
        if recorded is None:
            self._set(order_id, OrderState.queued)
            return
        if recorded[0] == OrderState.tombstoned:
            raise Tombstoned
        raise StaleOrder('an order with this id was received before')

    def start(self, order_id: str) -> None:
        """Record that the order is about to be sent to the upstream.

        Raises Tombstoned if the order was tombstoned while it waited.
        """
        recorded = self._orders.get(order_id)
        if recorded is not None and recorded[0] == OrderState.tombstoned:
            raise Tombstoned
        self._set(order_id, OrderState.started)

    def tombstone(self, order: TombstoneOrder) -> Verdict:
        """Return whether the order has run; if not, block it from running.

        The verdict is ``unknown`` if the ledger may have evicted the order.
        """
        self._evict_old()
        recorded = self._orders.get(order.id)
        if recorded is not None and recorded[0] == OrderState.started:
            return Verdict.ran
        if recorded is None and self._may_be_evicted(order.age_s):
            return Verdict.unknown
        self._set(order.id, OrderState.tombstoned)
        return Verdict.never

    def tombstoned(self, order_id: str) -> bool:
        """Return whether the order was tombstoned."""
        recorded = self._orders.get(order_id)
        return recorded is not None and recorded[0] == OrderState.tombstoned

    def __len__(self) -> int:
        """Return the number of orders in the ledger."""
        return len(self._orders)

    def _may_be_evicted(self, age_s: float) -> bool:
        sent_at = self._clock.monotonic() - age_s
        return sent_at <= self._evicted_up_to

    def _set(self, order_id: str, state: OrderState) -> None:
        self._orders[order_id] = (state, self._clock.monotonic())
        self._orders.move_to_end(order_id)

    def _evict_old(self) -> None:
        now = self._clock.monotonic()
        while self._orders:
            recorded_at = next(iter(self._orders.values()))[1]
            is_expired = now - recorded_at > self._retention_s
            if not is_expired and len(self._orders) <= self._max:
                return
            self._orders.popitem(last=False)
            self._evicted_up_to = max(self._evicted_up_to, recorded_at)
