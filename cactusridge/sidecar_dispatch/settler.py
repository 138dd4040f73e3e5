"""Finds out what became of an order whose reply was lost."""

from types import MappingProxyType

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import (
    CactusridgeError,
    DeadlineExceeded,
    OutcomeUnknown,
)
from cactusridge.orders import RunOrder, TombstoneOrder, Verdict, WorkClass
from cactusridge.sidecar_dispatch.dispatch import Dispatch
from cactusridge.sidecar_dispatch.replica import Replica
from cactusridge.sidecar_dispatch.sidecar_client import SidecarClient

HAS_NOT_RUN = MappingProxyType({Verdict.never: True, Verdict.ran: False})


class Settler:
    """Asks a sidecar, by a tombstone, whether an order has run."""

    def __init__(self, client: SidecarClient, clock: Clock) -> None:
        """Ask through ``client``."""
        self._client = client
        self._clock = clock

    def settle(
        self,
        order: RunOrder,
        dispatch: Dispatch,
        replica: Replica,
        exc: CactusridgeError,
        sent_at: float,
    ) -> None:
        """Leave the answer in ``exc.not_run``; None if it is not known.

        The question also keeps an order that is still on its way from
        ever running. ``sent_at`` is on the monotonic clock.
        """
        if exc.not_run or not _worth_asking(dispatch, exc):
            return
        question = TombstoneOrder(
            id=order.id,
            incarnation=order.incarnation,
            age_s=self._clock.monotonic() - sent_at,
        )
        try:
            verdict = self._client.tombstone(replica.address, question)
        except CactusridgeError:
            verdict = Verdict.unknown
        logs.emit(
            events.OUTCOME_UNKNOWN,
            order=order.id,
            verdict=verdict.value,
            repeatable=dispatch.repeatable,
        )
        exc.not_run = HAS_NOT_RUN.get(verdict)


def _worth_asking(dispatch: Dispatch, exc: CactusridgeError) -> bool:
    """Tell whether the sidecar should be asked what became of it.

    Someone who waits for an online answer past its deadline gets the
    refusal at once; a batch item can wait for the truth.
    """
    if isinstance(exc, DeadlineExceeded):
        return dispatch.work == WorkClass.batch
    return isinstance(exc, OutcomeUnknown)
