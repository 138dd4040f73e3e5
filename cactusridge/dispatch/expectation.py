"""What an entry expects of a replica when it sends a request there."""

from typing import NamedTuple


class Expectation(NamedTuple):
    """The expected wait for a slot and what it was derived from.

    ``queue`` is the number of slots that must become free before the request
    starts. ``queued_slot_s`` is how long a request at the replica holds a slot,
    and ``wait_s`` the expected wait; both are in seconds. ``speed`` is relative
    to the service, 1 for a usual replica.
    """

    queue: int
    queued_slot_s: float
    wait_s: float
    speed: float = 1
