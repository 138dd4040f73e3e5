"""An organisation, and how much it may send."""

from typing import NamedTuple


class RateLimit(NamedTuple):
    """Requests of one organisation over all entries together.

    ``rate_per_s`` is what it may send in the long run, ``burst`` how many
    requests more at once.
    """

    rate_per_s: float
    burst: float


class Organisation(NamedTuple):
    """One organisation as the configuration has it.

    Its ``priority`` goes before that of a route; None: it has none.
    Without a ``limit`` it may send as much as it likes.
    """

    name: str
    priority: int | None = None
    limit: RateLimit | None = None
