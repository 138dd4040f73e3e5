"""Checks fencing numbers on behalf of upstreams that do not check them."""

from collections import OrderedDict

from cactusridge import events, logs
from cactusridge.errors import StaleOrder
from cactusridge.orders import Fence

MAX_RESOURCES = 100_000


class FencingRegister:
    """Keeps the highest fencing number received for each resource.

    Beyond ``MAX_RESOURCES`` the least recently used resource is evicted.
    """

    def __init__(self) -> None:
        """Create an empty register.

        The register need not survive a restart: a restarted sidecar has a
        new incarnation, and it refuses orders for the old incarnation
        before their fencing numbers are checked.
        """
        self._highest: OrderedDict[str, int] = OrderedDict()

    def check(self, fence: Fence | None) -> None:
        """Record ``fence``; raise StaleOrder if a higher one was received."""
        if fence is None:
            return
        highest = self._highest.get(fence.resource, 0)
        if fence.number < highest:
            logs.emit(events.ORDER_FENCED, resource=fence.resource)
            raise StaleOrder(
                f'{fence.resource}: fencing number {fence.number} < {highest}',
            )
        self._highest[fence.resource] = fence.number
        self._highest.move_to_end(fence.resource)
        if len(self._highest) > MAX_RESOURCES:
            self._highest.popitem(last=False)
