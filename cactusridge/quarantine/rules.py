"""Rules that decide from strikes which requests are quarantined."""

import abc
import itertools
from collections.abc import Mapping

from cactusridge.quarantine.strike import (
    QUARANTINE_POINTS,
    STAGE_POINTS,
    Stage,
    Strike,
)

# Strikes by fingerprint, then by incarnation key of the replica.
StrikesByRequest = Mapping[str, Mapping[str, Strike]]


class QuarantineRule(abc.ABC):
    """Decides which requests are quarantined."""

    @abc.abstractmethod
    def quarantined(self, strikes: StrikesByRequest) -> frozenset[str]:
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

    def quarantined(self, strikes: StrikesByRequest) -> frozenset[str]:
        """Return the certain causes and the suspects of all other crashes."""
        certain = frozenset(
            fingerprint
            for fingerprint, incarnations in strikes.items()
            if _is_certain(incarnations)
        )
        explained = frozenset(
            itertools.chain.from_iterable(
                strikes[fingerprint] for fingerprint in certain
            ),
        )
        suspected = frozenset(
            fingerprint
            for fingerprint, incarnations in strikes.items()
            if _points(incarnations, explained) >= QUARANTINE_POINTS
        )
        return certain | suspected


class NoQuarantine(QuarantineRule):
    """Naive rule: quarantines no request, whatever crashes it caused."""

    def quarantined(self, strikes: StrikesByRequest) -> frozenset[str]:
        """Return an empty set."""
        return frozenset()


def _is_certain(incarnations: Mapping[str, Strike]) -> bool:
    begun = [
        each for each in incarnations.values() if each.stage == Stage.started
    ]
    return len(begun) * STAGE_POINTS[Stage.started] >= QUARANTINE_POINTS


def _points(
    incarnations: Mapping[str, Strike], explained: frozenset[str]
) -> int:
    unexplained = incarnations.keys() - explained
    return sum(incarnations[incarnation].points for incarnation in unexplained)
