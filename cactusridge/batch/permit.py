"""Permit to dispatch items while the span is held under a valid lease."""

import gevent
from gevent.event import Event

from cactusridge.batch.held_span import LeaseLost
from cactusridge.batch.lease import Lease
from cactusridge.errors import Refused

PAUSE_S = 0.1


class LeaseExpired(Refused):
    """The lease must be renewed before more items are dispatched."""

    code = 'lease_lapsed'


class DispatchPermit:
    """Permission to dispatch items of a span, checked before each dispatch.

    A suspended process may resume after another process has taken over its
    lease. Its own monotonic clock then shows that the lease has expired,
    before the process has sent any message.
    """

    def __init__(self, span_held: Event, lease: Lease) -> None:
        """Permit dispatch while ``span_held`` is set and ``lease`` valid."""
        self._span_held = span_held
        self._lease = lease

    def wait(self) -> None:
        """Wait until the lease is valid; raise LeaseLost once it is lost."""
        while True:
            if not self._span_held.is_set():
                raise LeaseLost
            if self._lease.valid():
                return
            gevent.sleep(PAUSE_S)

    def check(self) -> None:
        """Raise LeaseLost or LeaseExpired unless dispatch is permitted."""
        if not self._span_held.is_set():
            raise LeaseLost
        if not self._lease.valid():
            raise LeaseExpired
