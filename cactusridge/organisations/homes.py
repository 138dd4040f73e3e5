"""Which entry counts the requests of which organisation.

An organisation has one home among the entries, by rendezvous hash, so that
its limit is counted in one place without anything being elected or stored.
Two entries must not count for the same one at full rate: an entry that has
just come into the list is nobody's home until all others have read that it
is there, and one that cannot renew its row counts for nobody.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from cactusridge.clock import Clock
from cactusridge.hashing import hash64, rendezvous

MS = 1000
# How often it is found out who may be a home, in seconds.
LOOK_S = 0.5
# Listed for this long without a gap an entry may be a home, in ms.
SETTLE_MS = 3000
# And counts this much later: the others read the list every second.
READ_MS = 1500
# The home, and those who are asked in turn where that does not answer.
RANKED = 3


class Candidate(NamedTuple):
    """An entry that may be a home.

    ``since_ms`` is the store's time from which on it has been listed
    without a gap.
    """

    name: str
    since_ms: int


class Homes:
    """The homes of organisations as one entry sees them."""

    def __init__(
        self,
        me: str,
        listed: Callable[[], Sequence[Candidate]],
        now_ms: Callable[[], float],
        in_touch: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Choose among those ``listed``; ``now_ms`` is the store's time.

        ``in_touch`` tells whether this entry's row counts as renewed.
        """
        self.changes = 0
        self._me = me
        self._listed = listed
        self._now_ms = now_ms
        self._in_touch = in_touch
        self._clock = clock
        self._eligible: frozenset[str] = frozenset()
        self._changed_at = clock.monotonic()
        self._settled = False
        # Of the organisations asked about since the last change.
        self._ranked: dict[str, list[str]] = {}

    def ranked(self, organisation: str) -> list[str]:
        """Return the home of an organisation and who stand in for it."""
        if not self._eligible:
            self.look()
        found = self._ranked.get(organisation)
        if found is None:
            found = rendezvous(self._eligible, hash64(organisation))[:RANKED]
            self._ranked[organisation] = found
        return found

    def held_s(self, organisation: str) -> float | None:
        """Return for how long this entry has been the home, at the least.

        None if it is not, or may not count now.
        """
        if self.ranked(organisation)[:1] != [self._me]:
            return None
        if not (self._settled and self._in_touch()):
            return None
        return self._clock.monotonic() - self._changed_at

    def stands_in(self, organisation: str) -> bool:
        """Tell whether this entry stands in for the home."""
        return self._me in self.ranked(organisation)[1:]

    def look(self) -> None:
        """Find out who may be a home now, and whether this entry counts."""
        listed = self._listed()
        settled_ms = _settled_ms(listed, self._now_ms() - SETTLE_MS)
        eligible = frozenset(
            each.name for each in listed if each.since_ms <= settled_ms
        )
        if eligible != self._eligible:
            self._eligible = eligible
            self._ranked = {}
            self._changed_at = self._clock.monotonic()
            self.changes += 1
        counts_ms = _settled_ms(listed, self._now_ms() - SETTLE_MS - READ_MS)
        self._settled = any(
            each.name == self._me and each.since_ms <= counts_ms
            for each in listed
        )


def _settled_ms(listed: Sequence[Candidate], at_ms: float) -> float:
    """Return up to when an entry has to be listed, ``at_ms`` mostly.

    Those that came with the first one need not wait: after the loss of
    all there is nobody who may still count.
    """
    first_ms = min((each.since_ms for each in listed), default=0)
    return max(at_ms, first_ms + SETTLE_MS)
