"""Handovers that an entry has received, whether it took the counts or not."""

from typing import NamedTuple

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.organisations.lease_state import LeaseState
from cactusridge.organisations.limit_count import received
from cactusridge.organisations.limit_holds import LimitHolds
from cactusridge.organisations.limit_messages import (
    Candidate,
    Ceder,
    Handover,
    HeldCount,
)
from cactusridge.organisations.limit_owners import LimitOwners
from cactusridge.organisations.ranking import is_outranked


class _Receipt(NamedTuple):
    """Whether a handover was accepted.

    Copies of the message may arrive until ``until_ms`` of the store's clock.
    """

    until_ms: int
    accepted: bool


class LimitReceipts:
    """Takes each handover at most once."""

    def __init__(
        self,
        owners: LimitOwners,
        holds: LimitHolds,
        lease: LeaseState,
        clock: Clock,
    ) -> None:
        """Add accepted counts to ``holds`` while ``lease`` is valid."""
        self._owners = owners
        self._holds = holds
        self._lease = lease
        self._clock = clock
        self._receipts: dict[tuple[Candidate, int], _Receipt] = {}

    def receive(self, handover: Handover) -> bool:
        """Return whether the counts of a handover were accepted.

        A repeated message has no effect but gets the same response.
        """
        key = (handover.sender, handover.number)
        receipt = self._receipts.get(key)
        if receipt is None:
            self._drop_old()
            receipt = _Receipt(handover.until_ms, self._lease.is_current())
            self._receipts[key] = receipt
            if receipt.accepted:
                self._take(handover)
            else:
                self._pass_over(handover)
        return receipt.accepted

    def has_accepted(self, handover: Handover) -> bool:
        """Return whether the counts of a handover were accepted before."""
        receipt = self._receipts.get((handover.sender, handover.number))
        return receipt is not None and receipt.accepted

    def _take(self, handover: Handover) -> None:
        """Hold the counts of a handover, except for those already held."""
        now = self._clock.monotonic()
        for held in handover.counts:
            if self._holds.usable(held.name) is None:
                ceders = self._needed_ceders(held)
                self._holds.hold(held.name, received(held, now), ceders)
        count = len(handover.counts)
        metrics.LIMIT_HANDOVERS.add({'outcome': 'taken'}, count)
        logs.emit(
            events.LIMITS_TAKEN_OVER,
            sender=handover.sender.name,
            organisations=count,
        )

    def _pass_over(self, handover: Handover) -> None:
        """Do not count what was not accepted, as if it was handed over."""
        for held in handover.counts:
            self._holds.pass_over(held.name, handover.sender, handover.until_ms)

    def _needed_ceders(self, held: HeldCount) -> tuple[Ceder, ...]:
        """Return the ceders that would otherwise count before this entry."""
        now_ms = self._owners.store_clock.now_ms()
        return tuple(
            each
            for each in held.ceders
            if each.entry.name != self._owners.own_name
            and each.until_ms > now_ms
            and is_outranked(held.name, self._owners.own_name, each.entry)
        )

    def _drop_old(self) -> None:
        now_ms = self._owners.store_clock.now_ms()
        for key, receipt in tuple(self._receipts.items()):
            if receipt.until_ms < now_ms:
                self._receipts.pop(key)
