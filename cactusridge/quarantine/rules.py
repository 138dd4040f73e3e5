"""Rules that decide from strikes which requests are quarantined."""

import abc
import itertools
from collections.abc import Mapping

from cactusridge.quarantine.strike import HELD_AT, POINTS, Stage, Strike

# Strikes by fingerprint, then by incarnation key of the replica.
Strikes = Mapping[str, Mapping[str, Strike]]


class QuarantineRule(abc.ABC):
    """Decides which requests are quarantined."""

    @abc.abstractmethod
    def held(self, strikes: Strikes) -> frozenset[str]:
        """Return the fingerprints of the requests quarantined now."""


class ByCrashes(QuarantineRule):
    """Quarantines requests whose strikes reach a threshold of points.

    The rule stops requests that crash every replica that starts to run them
    and that callers keep sending. A crash also interrupts all other requests
    on the replica, and a long batch item or a retried request can be
    interrupted several times in a row. A strike of a request that had started
    without output therefore counts most. A crash of a replica under a request
    that is certainly a cause does not count against the other requests that
    were there.
    """

    def held(self, strikes: Strikes) -> frozenset[str]:
        """Return the certain causes and the suspects of all other crashes."""
        certain = frozenset(
            found for found, lives in strikes.items() if _is_certain(lives)
        )
        explained = frozenset(
            itertools.chain.from_iterable(strikes[found] for found in certain),
        )
        suspected = frozenset(
            found
            for found, lives in strikes.items()
            if _points(lives, explained) >= HELD_AT
        )
        return certain | suspected


class HoldNothing(QuarantineRule):
    """Naive rule: quarantines no request, whatever crashes it caused."""

    def held(self, strikes: Strikes) -> frozenset[str]:
        """Return an empty set."""
        return frozenset()


def _is_certain(lives: Mapping[str, Strike]) -> bool:
    begun = [each for each in lives.values() if each.stage == Stage.begun]
    return len(begun) * POINTS[Stage.begun] >= HELD_AT


def _points(lives: Mapping[str, Strike], explained: frozenset[str]) -> int:
    open_ones = lives.keys() - explained
    return sum(lives[life].points for life in open_ones)
