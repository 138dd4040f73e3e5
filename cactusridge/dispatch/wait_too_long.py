"""The error for requests whose expected wait for a slot is too long."""

from typing import NamedTuple

from cactusridge.errors import Overloaded


class WaitEstimate(NamedTuple):
    """The expected wait at the best replica and what it was derived from.

    ``queue`` is the number of slots that must become free before the request
    starts, ``slot_s`` the time for which a request holds one of the
    replica's ``slots``. ``loads_age_s`` is the age of the oldest counts of
    peers. All times are in seconds.
    """

    replica: str
    queue: int
    slots: int
    slot_s: float
    wait_s: float
    loads_age_s: float


class WaitTooLong(Overloaded):
    """The expected wait for a slot exceeds the one that is admitted."""

    def __init__(
        self,
        estimate: WaitEstimate,
        retry_after_s: float,
        service: str = '',
    ) -> None:
        """Refuse a request for ``service`` because of ``estimate``."""
        super().__init__(
            f'the expected wait is {estimate.wait_s:.3f} s',
            retry_after_s=retry_after_s,
        )
        self.estimate = estimate
        self.service = service
