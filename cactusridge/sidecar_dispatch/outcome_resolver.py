"""Determines whether an order ran when its reply was lost."""

from types import MappingProxyType

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import (
    CactusridgeError,
    DeadlineExceeded,
    OutcomeUnknown,
    StopLimit,
)
from cactusridge.orders import RunOrder, TombstoneOrder, Verdict, WorkClass
from cactusridge.sidecar_dispatch.dispatch import Dispatch
from cactusridge.sidecar_dispatch.replica import Replica
from cactusridge.sidecar_dispatch.sidecar_client import SidecarClient

NOT_RUN_BY_VERDICT = MappingProxyType({Verdict.never: True, Verdict.ran: False})


class OutcomeResolver:
    """Sends tombstones to sidecars to learn whether orders ran."""

    def __init__(self, client: SidecarClient, clock: Clock) -> None:
        """Send tombstones through ``client``."""
        self._client = client
        self._clock = clock

    def resolve(
        self,
        order: RunOrder,
        dispatch: Dispatch,
        replica: Replica,
        exc: CactusridgeError,
        sent_at: float,
    ) -> None:
        """Set ``exc.not_run`` to the sidecar's verdict on an order.

        The value is True if the order never ran and never will, False if
        it ran, and None if that is unknown. The tombstone also prevents
        an order that is still in transit from running later. ``sent_at``
        is the monotonic time in seconds when the order was sent. Raises
        StopLimit, after which nothing may be sent.
        """
        if exc.not_run or not _should_query(dispatch, exc):
            return
        order_query = TombstoneOrder(
            id=order.id,
            incarnation=order.incarnation,
            age_s=self._clock.monotonic() - sent_at,
        )
        try:
            verdict = self._client.tombstone(replica.address, order_query)
        except StopLimit:
            raise
        except CactusridgeError:
            verdict = Verdict.unknown
        logs.emit(
            events.OUTCOME_UNKNOWN,
            order=order.id,
            verdict=verdict.value,
            repeatable=dispatch.repeatable,
        )
        exc.not_run = NOT_RUN_BY_VERDICT.get(verdict)


def _should_query(dispatch: Dispatch, exc: CactusridgeError) -> bool:
    """Return whether to query the sidecar about the outcome.

    After its deadline an online request is refused at once, since its
    caller is waiting. A batch item can wait for the verdict.
    """
    if isinstance(exc, DeadlineExceeded):
        return dispatch.work == WorkClass.batch
    return isinstance(exc, OutcomeUnknown)
