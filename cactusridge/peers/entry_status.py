"""The status that an entry sends to its peers."""

from typing import NamedTuple


class EntryStatus(NamedTuple):
    """The status of an entry, as it sends it to its peers.

    ``version`` is the version of the configuration in force there.
    ``has_store`` is whether the store responds to the entry, and
    ``store_uptime_s`` for how many seconds it has done so without an outage. A
    ``store_uptime_s`` of 0 vouches for no time, as for an entry that does not
    send the field.
    """

    version: int
    has_store: bool
    store_uptime_s: float = 0
