"""Policies for requests that cannot start now.

They deal with bursts of a few seconds. A caller that has been refused returns
once; if it is refused again it gets no answer, although slots become free
soon after.
"""

import abc

from cactusridge.dispatch.online_call import OnlineCall
from cactusridge.dispatch.wait_too_long import WaitTooLong
from cactusridge.dispatch.waiting_summary import WaitingSummary


class Queueing(abc.ABC):
    """Lets requests wait that have not been sent to any replica."""

    @abc.abstractmethod
    def wait(self, call: OnlineCall, refusal: WaitTooLong) -> None:
        """Return when a request that was refused may try again.

        Raises ``refusal`` if the request may not wait, and else the error
        that ended its wait. The request has not run then.
        """

    @abc.abstractmethod
    def summary(self) -> list[WaitingSummary]:
        """Return the waiting requests by service, priority, organisation."""

    @abc.abstractmethod
    def close(self) -> None:
        """End all waits; later requests do not wait."""


class NoQueueing(Queueing):
    """Naive policy: refuses every request that cannot start now."""

    def wait(self, call: OnlineCall, refusal: WaitTooLong) -> None:
        """Raise ``refusal``."""
        raise refusal

    def summary(self) -> list[WaitingSummary]:
        """Return nothing, since no request waits."""
        return []

    def close(self) -> None:
        """Do nothing, since no request waits."""
