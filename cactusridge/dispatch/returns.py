"""When callers that are refused are told to come back.

Answers bursts that exceed the slots for a second or more. A refused caller
has one more try as a rule: back within the burst it meets the same queue
and is refused for good.
"""

import abc
import random
from typing import NamedTuple

# Waits below this many seconds are told as this: a way to the caller and
# back, and a step of the replica.
MIN_RETRY_S = 0.05
# Share of the time its caller has left after which it is back at the
# latest. Two thirds are left for a queue and the answer, and callers
# follow no longer wait.
LATEST_SHARE = 0.33
# And the share of that wait before which nobody is back, so that callers
# of one moment come back spread over as long again.
EARLIEST_SHARE = 0.5
# Share of the latest requests refused from which on it is no chance crowd
# but a burst. Who is back at once is refused again about as often as the
# others; a late answer is worth about half to its caller, a third of
# refusals would outweigh that, and the share is known late.
BURST_SHARE = 0.25
# Weight of the newest request in that share: some five of them, which an
# entry gets in about a second.
NEWEST_WEIGHT = 0.2


class Refusal(NamedTuple):
    """What is known when a request is refused; times in seconds.

    ``excess_s`` is how much longer than allowed it would wait now,
    ``left_s`` what its caller has left.
    """

    service: str
    excess_s: float
    left_s: float


class Returns(abc.ABC):
    """Says when a refused caller is to come back."""

    @abc.abstractmethod
    def let_in(self, service: str) -> None:
        """Note a request that was not refused."""

    @abc.abstractmethod
    def after_s(self, refusal: Refusal) -> float:
        """Note a refusal; return the wait to tell its caller, in seconds."""


class NextSlot(Returns):
    """Naive: everybody when the wait for one slot has become short."""

    def let_in(self, service: str) -> None:
        """Nothing is learnt of it."""

    def after_s(self, refusal: Refusal) -> float:
        """Return the excess of the wait."""
        return max(MIN_RETRY_S, refusal.excess_s)


class AfterBurst(Returns):
    """In a burst as late as the caller's time allows, else at once.

    Played with bursts of 0.5 to 6 s at 1.2 and 1.5 times the slots, three
    to seven tenths of the callers that ``NextSlot`` leaves without an
    answer get none (thirty seeds of tests/test_returns.py).
    """

    def __init__(self, rng: random.Random) -> None:
        """Draw the moments from ``rng``."""
        self._rng = rng
        # Share of the latest requests that were refused, by service.
        self._refused: dict[str, float] = {}

    def let_in(self, service: str) -> None:
        """Lower the share that is refused."""
        self._note(service, 0)

    def after_s(self, refusal: Refusal) -> float:
        """Return a wait that leaves time for a second try."""
        soon_s = max(MIN_RETRY_S, refusal.excess_s)
        if self._note(refusal.service, 1) < BURST_SHARE:
            return soon_s
        latest_s = LATEST_SHARE * refusal.left_s
        wait_s = self._rng.uniform(EARLIEST_SHARE * latest_s, latest_s)
        return max(MIN_RETRY_S, wait_s, min(soon_s, latest_s))

    def _note(self, service: str, refused: int) -> float:
        """Take in a request; return the share that was refused."""
        share = self._refused.get(service, 0)
        share += NEWEST_WEIGHT * (refused - share)
        self._refused[service] = share
        return share
