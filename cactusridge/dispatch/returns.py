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


class Refusal(NamedTuple):
    """What is known when a request is refused; times in seconds.

    ``excess_s`` is how much longer than allowed it would wait now,
    ``left_s`` what its caller has left.
    """

    excess_s: float
    left_s: float


class Returns(abc.ABC):
    """Says when a refused caller is to come back."""

    @abc.abstractmethod
    def after_s(self, refusal: Refusal) -> float:
        """Return the wait to tell a caller, in seconds."""


class NextSlot(Returns):
    """Naive: everybody when the wait for one slot has become short."""

    def after_s(self, refusal: Refusal) -> float:
        """Return the excess of the wait."""
        return max(MIN_RETRY_S, refusal.excess_s)


class AfterBurst(Returns):
    """As late as the caller's time allows, each at a moment of its own.

    Fewer callers are refused twice than under ``NextSlot``. Under a load
    that stays over the slots that holds too, yet more are late.
    """

    def __init__(self, rng: random.Random) -> None:
        """Draw the moments from ``rng``."""
        self._rng = rng

    def after_s(self, refusal: Refusal) -> float:
        """Return a wait that leaves time for a second try."""
        latest_s = LATEST_SHARE * refusal.left_s
        wait_s = self._rng.uniform(EARLIEST_SHARE * latest_s, latest_s)
        return max(MIN_RETRY_S, wait_s, min(refusal.excess_s, latest_s))
