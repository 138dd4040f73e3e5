"""Reads the platform's list of replicas into the fleet view."""

import gevent

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.fleet.fleet_view import FleetView
from cactusridge.fleet.incarnation_order import (
    MissingStartTime,
    OlderIncarnation,
)
from cactusridge.fleet.process_evidence import ProcessEvidence
from cactusridge.fleet.replica import Replica
from cactusridge.platform.replica_entry import UnreadableEntry, read_entry
from cactusridge.start_trace import TRACE, StartStep
from cactusridge.store.table import Row
from cactusridge.store.table_follower import TableListener

TABLE = 'servers'
PREFIX = 'servers//'
# Seconds for which replicas without an entry are kept after an outage of the
# store. Replicas whose entries expired in the outage register again within
# about two seconds of its end; this process reads the entries within another
# half second.
EXPIRED_GRACE_S = 2.5


class Discovery(TableListener):
    """Applies the entries of the replica list to the fleet view."""

    def __init__(
        self,
        fleet: FleetView,
        clock: Clock,
        evidence: ProcessEvidence | None = None,
    ) -> None:
        """Apply the list in the store to ``fleet``.

        ``evidence`` gets the times at which the list was current.
        """
        self._fleet = fleet
        self._evidence = evidence or ProcessEvidence(clock)
        self._clock = clock
        # Whether the list of replicas has been read.
        self.is_read = False
        self._grace_until = float(0)
        self._missing_keys: set[str] = set()
        # The applied version of each row, by key. Most rows are unchanged
        # when the whole list is read again.
        self._applied_versions: dict[str, int] = {}

    def store_recovered(self, since: float) -> None:
        """Start a grace period at ``since``, the end of a store outage.

        Replicas whose entries expired during the outage kept running. If
        they were dropped, every request would be refused until they have
        registered again.
        """
        self._grace_until = since + EXPIRED_GRACE_S
        logs.emit(events.EXPIRED_REPLICAS_KEPT, replicas=len(self._fleet.ids()))
        self._drop_missing()

    def shorten_grace(self, since: float) -> None:
        """Shorten the grace period: a peer has had the store since ``since``.

        If only this entry lost the store, replicas without an entry have
        really left, and its peers have already dropped them. Keeping them
        for the whole grace period would send them requests for longer than
        is allowed for a leaving replica. A report outside the grace period
        is ignored: an earlier one says nothing about the outage, and a later
        one finds no replica that is still kept.
        """
        if self._clock.monotonic() >= self._grace_until:
            return
        if since + EXPIRED_GRACE_S < self._grace_until:
            logs.emit(events.GRACE_SHORTENED, missing=len(self._missing_keys))
            self._grace_until = since + EXPIRED_GRACE_S
            self._drop_missing()

    def put(self, row: Row) -> None:
        """Apply a replica's entry; an unreadable one affects no other."""
        if row.value is None and not row.unreadable:
            self._drop(row.key)
        elif self._applied_versions.get(row.key) != row.version:
            self._applied_versions[row.key] = row.version
            self._apply(row)

    def retain(self, keys: set[str]) -> None:
        """Drop the replicas whose keys are not among ``keys``."""
        for key in self._applied_versions.keys() - keys:
            self._drop(key)

    def up_to_date(self, begun_at: float, whole: bool) -> None:
        """Record a read of the list or of its changes.

        Just after an outage of the store the list may still be an old one.
        """
        if self._clock.monotonic() >= self._grace_until:
            self._evidence.record_list()
        if whole:
            self.is_read = True
            TRACE.mark(StartStep.replicas)

    def _apply(self, row: Row) -> None:
        """Apply a version of an entry; log it if it is rejected."""
        try:
            replica = _read(row)
            self._fleet.put(replica)
        except (UnreadableEntry, MissingStartTime) as unreadable:
            self._drop_unreadable(row.key, str(unreadable))
        except OlderIncarnation as over:
            # The newer incarnation keeps its state, whether it is listed
            # or was removed.
            logs.emit(
                events.OLDER_INCARNATION_IGNORED,
                host=_id_of(row.key),
                error=str(over),
            )
        else:
            self._missing_keys.discard(row.key)
            if not self._fleet.is_usable(replica):
                _log_unreadable(row.key, 'no start time, unlike most entries')

    def _drop_unreadable(self, key: str, cause: str) -> None:
        """Drop a replica at once because its entry is unreadable.

        No grace period applies: the entry has not expired, it exists and
        describes no usable replica.
        """
        self._missing_keys.discard(key)
        self._fleet.drop(_id_of(key))
        _log_unreadable(key, cause)

    def _drop(self, key: str) -> None:
        self._applied_versions.pop(key, None)
        if self._clock.monotonic() < self._grace_until:
            self._missing_keys.add(key)
        else:
            self._fleet.drop(_id_of(key))

    def _drop_missing(self) -> None:
        """Drop the replicas that have not registered again.

        If another outage has moved the end of the grace period, this method
        runs again at the new end, so that replicas whose entries expired in
        that outage get the full period.
        """
        left_s = self._grace_until - self._clock.monotonic()
        if left_s > 0:
            gevent.spawn_later(left_s, self._drop_missing)
            return
        while self._missing_keys:
            self._fleet.drop(_id_of(self._missing_keys.pop()))


def _id_of(key: str) -> str:
    """Return the replica id, or the whole key if it lacks PREFIX."""
    return key.removeprefix(PREFIX)


def _read(row: Row) -> Replica:
    """Return the replica that a row describes; raise UnreadableEntry."""
    if not row.key.startswith(PREFIX):
        raise UnreadableEntry('the row is not in the list of replicas')
    if row.unreadable:
        raise UnreadableEntry('the value cannot be decoded')
    return read_entry(_id_of(row.key), row.value)


def _log_unreadable(key: str, cause: str) -> None:
    logs.emit(events.HOST_UNREADABLE, host=_id_of(key), error=cause)
