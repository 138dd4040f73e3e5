"""Policies that refuse online requests when the queue is too long.

They deal with loads that exceed the slots of the replicas for a second or
more. A replica starts requests in order of arrival, so each admitted
request that cannot be answered on time delays all requests behind it.
"""

import abc

# Share of the target latency that a request may spend in the replica's
# queue. The rest covers prefill, the network and the error of the estimate,
# which is the time for one slot to become free.
QUEUE_SHARE = 0.7


class Admission(abc.ABC):
    """Decides which requests are refused because of their expected wait."""

    @abc.abstractmethod
    def excess_s(self, wait_s: float, target_latency_s: float) -> float:
        """Return the time by which an expected wait is too long, in seconds.

        The request may be sent if the result is 0 or less. ``wait_s`` is
        the expected wait for a slot, ``target_latency_s`` the target
        latency up to which an answer is on time; both are in seconds.
        """


class InTime(Admission):
    """Refuses waits longer than ``QUEUE_SHARE`` of the target latency."""

    def excess_s(self, wait_s: float, target_latency_s: float) -> float:
        """Return the part of the wait beyond the allowed share."""
        return wait_s - QUEUE_SHARE * target_latency_s


class AdmitAll(Admission):
    """Naive policy: admits every request, so that queues can grow."""

    def excess_s(self, wait_s: float, target_latency_s: float) -> float:
        """Return 0, since any wait is allowed."""
        return 0
