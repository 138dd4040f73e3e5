"""Handovers that have been sent and not acknowledged yet."""

import itertools
import secrets
from collections.abc import Iterator

from cactusridge import events, logs, metrics
from cactusridge.clock import Clock
from cactusridge.organisations.limit_messages import Handover, HandoverLink

# Seconds between two sendings of a handover that is not acknowledged.
RESEND_S = 0.1
# Numbers start at random, so that those of two processes differ.
NUMBER_BITS = 48


class LimitOutbox:
    """Sends each handover until its receiver acknowledges it."""

    def __init__(self, link: HandoverLink, clock: Clock) -> None:
        """Send through ``link``."""
        self._link = link
        self._clock = clock
        self._numbers = itertools.count(secrets.randbits(NUMBER_BITS))
        self._pending: dict[int, tuple[Handover, float]] = {}

    def next_number(self) -> int:
        """Return a number for a new handover."""
        return next(self._numbers)

    def send(self, handover: Handover) -> None:
        """Send a handover until it is acknowledged or given up."""
        self._pending[handover.number] = (handover, self._clock.monotonic())
        _report('sent', handover)
        self._link.send_handover(handover)

    def acknowledged(self, number: int, *, accepted: bool) -> Handover | None:
        """Return the handover that its receiver has responded to, once."""
        found = self._pending.pop(number, None)
        if found is None:
            return None
        _report('acknowledged' if accepted else 'declined', found[0])
        return found[0]

    def pending(self) -> Iterator[Handover]:
        """Return the handovers without an acknowledgement."""
        return iter([handover for handover, _ in self._pending.values()])

    def has(self, name: str) -> bool:
        """Return whether a handover of an organisation is pending."""
        return any(
            each.name == name
            for handover in self.pending()
            for each in handover.counts
        )

    def give_up(self, handover: Handover) -> None:
        """Send a handover no longer."""
        self._pending.pop(handover.number, None)
        _report('unanswered', handover)

    def resend(self) -> None:
        """Send each handover again that is due."""
        now = self._clock.monotonic()
        for number, (handover, sent_at) in tuple(self._pending.items()):
            if now - sent_at >= RESEND_S:
                self._pending[number] = (handover, now)
                self._link.send_handover(handover)


def _report(outcome: str, handover: Handover) -> None:
    count = len(handover.counts)
    metrics.LIMIT_HANDOVERS.add({'outcome': outcome}, count)
    logs.emit(
        events.LIMITS_HANDED_OVER,
        outcome=outcome,
        receiver=handover.receiver.name,
        organisations=count,
        stopping=handover.stopping,
    )
