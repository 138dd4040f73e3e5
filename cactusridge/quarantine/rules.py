"""Rules that decide from strikes what is quarantined."""

import abc
import itertools
from collections.abc import Mapping

from cactusridge.quarantine.fingerprint import is_part
from cactusridge.quarantine.part_rule import guilty_parts
from cactusridge.quarantine.strike import (
    QUARANTINE_POINTS,
    STAGE_POINTS,
    Stage,
    Strike,
)

# Strikes by fingerprint, then by incarnation key of the replica.
StrikesByRequest = Mapping[str, Mapping[str, Strike]]


class QuarantineRule(abc.ABC):
    """Decides which requests and parts of prompts are quarantined."""

    @abc.abstractmethod
    def quarantined(self, strikes: StrikesByRequest) -> frozenset[str]:
        """Return the fingerprints and part keys quarantined now."""


class ByCrashes(QuarantineRule):
    """Quarantines requests whose strikes reach a threshold of points.

    The rule stops requests that crash every replica that starts to run them
    and that callers keep sending. A crash also interrupts all other requests
    on the replica, and a long batch item or a retried request can be
    interrupted several times in a row. A strike of a request that had started
    without output therefore counts most. A crash of a replica under a request
    that is certainly a cause does not count against the other requests that
    were there. Parts of prompts are quarantined by ``guilty_parts``; a crash
    under one of them counts against no request either.
    """

    def quarantined(self, strikes: StrikesByRequest) -> frozenset[str]:
        """Return the certain causes and the suspects of all other crashes."""
        parts = {key: found for key, found in strikes.items() if is_part(key)}
        requests = {
            key: found for key, found in strikes.items() if key not in parts
        }
        certain = frozenset(
            fingerprint
            for fingerprint, incarnations in requests.items()
            if _is_certain(incarnations)
        )
        causes = certain | guilty_parts(parts, certain)
        return causes | _suspected(requests, causes, strikes)


class NoQuarantine(QuarantineRule):
    """Naive rule: quarantines no request, whatever crashes it caused."""

    def quarantined(self, strikes: StrikesByRequest) -> frozenset[str]:
        """Return an empty set."""
        return frozenset()


def _suspected(
    requests: StrikesByRequest,
    causes: frozenset[str],
    strikes: StrikesByRequest,
) -> frozenset[str]:
    """Return the requests that crashes without a known cause speak against."""
    explained = frozenset(
        itertools.chain.from_iterable(strikes[cause] for cause in causes)
    )
    return frozenset(
        fingerprint
        for fingerprint, incarnations in requests.items()
        if _points(incarnations, explained) >= QUARANTINE_POINTS
    )


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
