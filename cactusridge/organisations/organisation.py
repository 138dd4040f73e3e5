"""An organisation and its rate limit."""

from typing import NamedTuple


class RateLimit(NamedTuple):
    """Rate limit of an organisation's requests across all entries.

    ``rate_per_s`` is the sustained rate in requests per second, ``burst``
    the number of further requests allowed at once.
    """

    rate_per_s: float
    burst: float


class Organisation(NamedTuple):
    """An organisation as defined in the catalog.

    ``priority`` takes precedence over that of a route; with None the
    route's priority applies. With a ``limit`` of None the organisation's
    requests are not limited.
    """

    name: str
    priority: int | None = None
    limit: RateLimit | None = None
