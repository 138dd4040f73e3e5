"""Where a stream began, and so where it may go on."""

from typing import NamedTuple


class StreamOrigin(NamedTuple):
    """The service and software version of the replica that began a stream.

    ``version`` is empty if the replica's entry has none.
    """

    service: str
    version: str


# The origin of output that was stored without one; no replica has it.
UNKNOWN_ORIGIN = StreamOrigin('', '')
