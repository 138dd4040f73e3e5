"""Which requests are held back, by the strikes against them."""

import abc
import itertools
from collections.abc import Mapping

from cactusridge.quarantine.strike import HELD_AT, POINTS, Stage, Strike

# Strikes by the life of the replica, by fingerprint.
Strikes = Mapping[str, Mapping[str, Strike]]


class QuarantineRule(abc.ABC):
    """Decides who is held back."""

    @abc.abstractmethod
    def held(self, strikes: Strikes) -> frozenset[str]:
        """Return the fingerprints that are held back now."""


class ByCrashes(QuarantineRule):
    """Holds back what has crashed three replicas.

    Answers requests that crash every replica that begins to run them and
    come again and again. All that runs on such a replica breaks off with
    it, long batch items and retried requests several times in a row. So
    what has begun and brought nothing counts most, and a crash under a
    request that is held back for certain counts against nobody else.
    """

    def held(self, strikes: Strikes) -> frozenset[str]:
        """Return the causes that are certain, and what they leave open."""
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
    """Naive: every request is run, whatever it has done."""

    def held(self, strikes: Strikes) -> frozenset[str]:
        """Return that nothing is held back."""
        return frozenset()


def _is_certain(lives: Mapping[str, Strike]) -> bool:
    begun = [each for each in lives.values() if each.stage == Stage.begun]
    return len(begun) * POINTS[Stage.begun] >= HELD_AT


def _points(lives: Mapping[str, Strike], explained: frozenset[str]) -> int:
    open_ones = lives.keys() - explained
    return sum(lives[life].points for life in open_ones)
