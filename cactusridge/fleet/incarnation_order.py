"""Tracks the newest incarnation of each replica, listed or not."""

from collections import OrderedDict

from cactusridge.errors import CactusridgeError
from cactusridge.fleet.replica import UNKNOWN_START
from cactusridge.fleet.start_time_rule import is_usable_entry

# Limits how many unlisted replicas have the start time of their newest
# incarnation remembered. The largest deployments list some tens of replicas,
# and a delayed read of the list is at most one replacement of all of them
# behind.
MAX_UNLISTED = 4096


class OlderIncarnation(CactusridgeError):
    """A newer incarnation of the replica is known."""

    status = 409
    code = 'life_over'


class MissingStartTime(CactusridgeError):
    """The entry has no start time, unlike an earlier entry of its id."""

    status = 422
    code = 'life_not_told'


class IncarnationOrder:
    """Remembers the start time of the newest incarnation by replica id.

    Service discovery can deliver entries of an earlier incarnation late. An
    entry whose start time is older than the newest known one is rejected.
    Start times are Unix milliseconds.
    """

    def __init__(self) -> None:
        """Create an order without any incarnation."""
        self._listed_starts: dict[str, int] = {}
        self._unlisted_starts: OrderedDict[str, int] = OrderedDict()

    def newest(self, replica_id: str) -> int | None:
        """Return the newest start time of a replica, None for an unknown id."""
        return self._listed_starts.get(
            replica_id, self._unlisted_starts.get(replica_id)
        )

    def record(self, replica_id: str, started_at_ms: int) -> int | None:
        """Record a listed incarnation; return the start time it replaces.

        Returns None if the listed incarnation replaces no other. Raises
        OlderIncarnation if a newer incarnation is known, and MissingStartTime
        if ``started_at_ms`` is UNKNOWN_START although an earlier entry of the
        id had a start time.
        """
        newest = self.newest(replica_id)
        if not is_usable_entry(
            started_at_ms, newest or UNKNOWN_START, most_have_start=False
        ):
            raise MissingStartTime(
                f'{replica_id} lacks its start time {newest}'
            )
        if newest is not None and started_at_ms < newest:
            raise OlderIncarnation(
                f'{replica_id}: {started_at_ms} is older than {newest}'
            )
        self._unlisted_starts.pop(replica_id, None)
        self._listed_starts[replica_id] = started_at_ms
        return None if newest == started_at_ms else newest

    def record_unlisted(self, replica_id: str) -> None:
        """Record that service discovery no longer lists a replica."""
        started_at_ms = self._listed_starts.pop(replica_id, None)
        if started_at_ms is None:
            return
        self._unlisted_starts[replica_id] = started_at_ms
        if len(self._unlisted_starts) > MAX_UNLISTED:
            self._unlisted_starts.popitem(last=False)
