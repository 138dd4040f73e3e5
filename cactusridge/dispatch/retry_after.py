"""Policies for the retry delay that a refused caller receives.

They deal with bursts of requests that exceed the slots of the replicas
for a second or more. A refused caller usually retries only once: if it
retries while the burst lasts, it meets the same queue and is refused for
good.
"""

import abc
import random
from typing import NamedTuple

# The shortest retry delay, in seconds: one round trip to the caller and
# one step of the replica.
MIN_RETRY_S = 0.05
# The longest retry delay as a share of the time left to the caller's
# deadline. The other two thirds remain for queueing and for the answer;
# callers do not follow longer delays.
LATEST_SHARE = 0.33
# The shortest delay drawn, as a share of the longest one. Callers refused
# at the same time thus spread their retries over a period as long as this
# shortest delay.
EARLIEST_SHARE = 0.5


class Refusal(NamedTuple):
    """The state of a request when it is refused; times are in seconds.

    ``excess_s`` is the time by which its expected wait exceeds the
    allowed one, ``left_s`` the time left to its deadline.
    """

    excess_s: float
    left_s: float


class RetryAfterPolicy(abc.ABC):
    """Computes the retry delay of a refused caller."""

    @abc.abstractmethod
    def delay_s(self, refusal: Refusal) -> float:
        """Return the retry delay to send to the caller, in seconds."""


class NextSlot(RetryAfterPolicy):
    """Naive policy: retry once the expected wait is short enough.

    All callers refused at the same time get nearly the same delay.
    """

    def delay_s(self, refusal: Refusal) -> float:
        """Return the time by which the expected wait is too long."""
        return max(MIN_RETRY_S, refusal.excess_s)


class AfterBurst(RetryAfterPolicy):
    """Delays retries as long as the deadline allows, at random times.

    Fewer callers are refused twice than with ``NextSlot``. This is also
    true under a load that stays above the number of slots, but then more
    answers are late.
    """

    def __init__(self, rng: random.Random) -> None:
        """Draw the retry delays from ``rng``."""
        self._rng = rng

    def delay_s(self, refusal: Refusal) -> float:
        """Return a random delay that leaves time for a second attempt."""
        latest_s = LATEST_SHARE * refusal.left_s
        wait_s = self._rng.uniform(EARLIEST_SHARE * latest_s, latest_s)
        return max(MIN_RETRY_S, wait_s, min(refusal.excess_s, latest_s))
