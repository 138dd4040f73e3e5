"""Which online requests are refused because of the queue before them.

Answers a load that exceeds the slots for a second or more: a replica
admits in order of arrival, so whoever is let in beyond what can be on time
makes all that follow late.
"""

import abc

# Share of the wait up to which an answer is on time that may be spent in
# the replica's queue. The rest is prefill, the network and the error of
# the estimate, which is one slot's release.
QUEUE_SHARE = 0.7


class Admission(abc.ABC):
    """Says which requests are refused because of the queue before them."""

    @abc.abstractmethod
    def excess_s(self, wait_s: float, aim_s: float) -> float:
        """Return by how much a wait is too long to be tried, in seconds.

        0 or less for one that may be sent; ``aim_s`` is the wait up to
        which the answer is on time.
        """


class InTime(Admission):
    """Who would wait for over ``QUEUE_SHARE`` of the aim is refused."""

    def excess_s(self, wait_s: float, aim_s: float) -> float:
        """Return what the wait has over the share."""
        return wait_s - QUEUE_SHARE * aim_s


class Everybody(Admission):
    """Naive: nobody is refused; the queue at the replica grows."""

    def excess_s(self, wait_s: float, aim_s: float) -> float:
        """Return that any wait will do."""
        return 0
