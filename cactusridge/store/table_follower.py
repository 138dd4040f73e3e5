"""Follows one table: reads all of its rows, then its changes."""

import abc
import random
from collections.abc import Callable

import gevent

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import StoreUnavailable
from cactusridge.store.contact import StoreContact
from cactusridge.store.row_reports import RowReports
from cactusridge.store.table import ABSENT, Row
from cactusridge.store.unreadable import UnreadableRecord
from cactusridge.store.watch import HistoryLost, Watch

# Seconds within which the store answers a watch, even if nothing has
# changed; a lost connection is recognised by a longer silence.
WAIT_S = 1.5
# Seconds between two complete reads of the table: a watch may miss changes
# that were made while its connection was broken.
REREAD_S = 8
# The shortest wait of a watch before the next complete read, in seconds.
MIN_WAIT_S = 0.1
# Backoff after a failure, in seconds. Up to half of it is random, so that
# entries do not all retry at the same time.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.8
# Longest backoff before the first read of the table. Until then the process
# cannot serve. The circuit breaker limits how many retries reach the store.
MAX_FIRST_PAUSE_S = 0.2


class TableListener(abc.ABC):
    """Receives the rows of a followed table."""

    @abc.abstractmethod
    def put(self, row: Row) -> None:
        """Process a row that exists or has changed.

        A row without a value was deleted or is unreadable. Raises
        UnreadableRecord, which does not keep other rows from being processed.
        """

    @abc.abstractmethod
    def retain(self, keys: set[str]) -> None:
        """Remove every row whose key is not among ``keys``."""

    def up_to_date(self, begun_at: float, whole: bool) -> None:
        """Handle the end of a read; all of its rows have been processed.

        ``begun_at`` is when the read began, in seconds of the follower's
        clock. ``whole`` is True for a read of all rows, and False for an
        answered watch, which may have had no changes.
        """

    def store_recovered(self, since: float) -> None:
        """Handle the end of an outage of the store.

        ``since`` is when the store's first answer was received, in seconds
        of the contact's clock.
        """


class TableFollower:
    """Passes the rows of one table and their changes to a listener."""

    def __init__(
        self,
        watch: Watch,
        table: str,
        prefixes: list[str],
        listener: TableListener,
        clock: Clock,
        contact: StoreContact,
        reread_s: float = REREAD_S,
    ) -> None:
        """Follow the rows of ``table`` whose keys start with ``prefixes``.

        All rows are read again every ``reread_s`` seconds.
        """
        self._reread_s = reread_s
        self.heard_at: float | None = None
        self._watch = watch
        self._table = table
        self._prefixes = prefixes
        self._listener = listener
        self._clock = clock
        self._contact = contact
        # The number of ended outages that the listener was notified of.
        self._notified_outages = contact.outages
        self._rng = random.Random()  # noqa: S311
        self._version: int | None = None
        self._read_at = float(0)
        self._pause_s = FIRST_PAUSE_S
        self._unreadable = RowReports()
        self._failures = RowReports(events.LISTENER_FAILED)

    def seconds_since_answer(self) -> float:
        """Return the seconds since the last read succeeded."""
        if self.heard_at is None:
            return float('inf')
        return self._clock.monotonic() - self.heard_at

    def step(self) -> None:
        """Read the table or its changes once; back off after a failure."""
        try:
            self._read()
        except HistoryLost:
            logs.emit(events.HISTORY_LOST, table=self._table)
            self._version = None
        except StoreUnavailable as exc:
            logs.emit(events.WATCH_FAILED, table=self._table, error=str(exc))
            self._back_off()
        else:
            self.heard_at = self._clock.monotonic()
            self._pause_s = FIRST_PAUSE_S

    def _read(self) -> None:
        now = self._clock.monotonic()
        left_s = self._read_at + self._reread_s - now
        if self._version is None or left_s < 0:
            found = self._watch.snapshot(self._prefixes)
            self._read_at = now
            whole = True
        else:
            wait_s = min(WAIT_S, max(MIN_WAIT_S, left_s))
            found = self._watch.changes(self._table, self._version, wait_s)
            whole = False
        self._notify_regained()
        if whole:
            keys = {row.key for row in found.rows}
            self._notify(
                self._table,
                found.version,
                lambda: self._listener.retain(keys),
            )
        for row in found.rows:
            self._notify_put(row)
        self._version = found.version
        self._notify(
            self._table,
            found.version,
            lambda: self._listener.up_to_date(now, whole),
        )

    def _notify_regained(self) -> None:
        """Notify the listener of the end of an outage, before it gets rows."""
        if self._contact.outages == self._notified_outages:
            return
        self._notified_outages = self._contact.outages
        since = self._contact.since
        self._notify(
            self._table,
            ABSENT,
            lambda: self._listener.store_recovered(since),
        )

    def _notify_put(self, row: Row) -> None:
        """Pass a row to the listener."""
        self._notify(row.key, row.version, lambda: self._listener.put(row))

    def _notify(self, key: str, version: int, call: Callable[[], None]) -> None:
        """Call the listener; log an error of it instead of raising.

        Otherwise the follower would read the table again and again from
        its beginning, and never get past the row at which the listener
        fails.
        """
        try:
            call()
        except UnreadableRecord as exc:
            self._unreadable.report_once(key, version, str(exc))
        except Exception as fault:
            self._failures.report_once(key, version, repr(fault))

    def _back_off(self) -> None:
        gevent.sleep(self._pause_s * self._rng.uniform(0.5, 1))
        limit_s = MAX_FIRST_PAUSE_S if self.heard_at is None else MAX_PAUSE_S
        self._pause_s = min(limit_s, self._pause_s * 2)
