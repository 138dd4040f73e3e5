"""Requests to other entries to hand over the counts of organisations."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from cactusridge import metrics
from cactusridge.clock import Clock
from cactusridge.organisations.limit_messages import (
    Candidate,
    Declined,
    HandoverLink,
)

# Seconds between two requests for the same organisation.
ASK_INTERVAL_S = 0.06
# Seconds after which an entry that does not respond counts as gone. Its right
# to count has ended before this entry's began; its counts are all that is
# lost.
ASK_FOR_S = 0.25
# Seconds after which an unused result is forgotten.
KEPT_S = 2.0


class _Ask(NamedTuple):
    """A request for one organisation; times in clock seconds."""

    entry: str
    begun_at: float
    sent_at: float
    declined: bool = False
    nobody: bool = False


class LimitTakeovers:
    """Asks for counts before this entry counts without any."""

    def __init__(self, link: HandoverLink, clock: Clock) -> None:
        """Ask through ``link``."""
        self._link = link
        self._clock = clock
        self._asks: dict[str, _Ask] = {}

    def is_settled(
        self, name: str, own: Candidate, predecessor: Candidate
    ) -> bool:
        """Return whether nobody has counts of an organisation to hand over.

        The first call asks ``predecessor`` for them.
        """
        now = self._clock.monotonic()
        ask = self._asks.get(name)
        if ask is None:
            self._asks[name] = _Ask(predecessor.name, now, now)
            metrics.LIMIT_HANDOVERS.inc({'outcome': 'asked'})
            self._link.ask(predecessor.name, own, [name])
            return False
        return ask.declined or now - ask.begun_at >= ASK_FOR_S

    def is_declined(self, name: str, entry: Candidate) -> bool:
        """Return whether ``entry`` is sure that nobody counts."""
        ask = self._asks.get(name)
        return ask is not None and ask.nobody and ask.entry == entry.name

    def declined(
        self, entry: str, names: Sequence[str], reply: Declined
    ) -> None:
        """Record the response of ``entry``.

        If another one still counts the organisations, it is asked next.
        """
        now = self._clock.monotonic()
        for name in names:
            ask = self._asks.get(name)
            if ask is None or ask.entry != entry:
                continue
            if reply.kept_by:
                asked = ask._replace(entry=reply.kept_by, begun_at=now)
            else:
                asked = ask._replace(declined=True, nobody=reply.nobody)
            self._asks[name] = asked

    def forget(self, names: Iterable[str]) -> None:
        """Forget requests: the organisations are counted now."""
        for name in names:
            self._asks.pop(name, None)

    def resend(self, own: Candidate) -> None:
        """Repeat the requests that were not answered yet."""
        now = self._clock.monotonic()
        due: defaultdict[str, list[str]] = defaultdict(list)
        for name, ask in tuple(self._asks.items()):
            if now - ask.begun_at > KEPT_S:
                self._asks.pop(name)
            elif not ask.declined and now - ask.sent_at >= ASK_INTERVAL_S:
                self._asks[name] = ask._replace(sent_at=now)
                due[ask.entry].append(name)
        for entry, names in due.items():
            self._link.ask(entry, own, names)
