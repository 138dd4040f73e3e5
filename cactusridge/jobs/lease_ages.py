"""The ages of an entry's lease."""

from typing import NamedTuple


class LeaseAges(NamedTuple):
    """Seconds since the last renewal and read; infinity before the first.

    ``overdue_s`` is for how long the call in progress has had no reply, 0 if
    there is none.
    """

    unrenewed_s: float
    unread_s: float
    overdue_s: float = 0
