"""Keeps an eye on one table: everything once, then what changes."""

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

# A watch is answered at least this often, which tells a lost connection
# from a table in which nothing changes.
WAIT_S = 1.5
# A watch may miss changes that the store made while it heard nothing;
# everything is read again this often, at some rows a second.
REREAD_S = 8
# The shortest wait of a watch, in seconds, before all is read again.
LEAST_WAIT_S = 0.1
# Pause after a failure, in seconds; half of it is random so that entries
# do not return to the store in step.
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.8


class TableListener(abc.ABC):
    """Who is told of a table's rows."""

    @abc.abstractmethod
    def put(self, row: Row) -> None:
        """Take a row; without a value it was removed or is unreadable.

        Raises UnreadableRecord; the other rows are taken all the same.
        """

    @abc.abstractmethod
    def retain(self, keys: set[str]) -> None:
        """Forget every row whose key is not among ``keys``."""

    def up_to_date(self, begun_at: float, whole: bool) -> None:
        """Note that everything that was told of the table is taken in.

        ``begun_at`` is when the reading of it was begun, on the process's
        clock; ``whole`` tells a reading of all rows from a watch that has
        been answered, maybe without news.
        """

    def store_recovered(self, since: float) -> None:
        """Note that the store answers again after an outage.

        ``since`` is when its first answer came, on the process's clock.
        """


class TableFollower:
    """Follows one table for as long as the process runs."""

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
        """Tell ``listener`` of the rows of ``table`` below ``prefixes``."""
        self._reread_s = reread_s
        self.heard_at: float | None = None
        self._watch = watch
        self._table = table
        self._prefixes = prefixes
        self._listener = listener
        self._clock = clock
        self._contact = contact
        # The outages whose end the listener was told of.
        self._outages = contact.outages
        self._rng = random.Random()  # noqa: S311
        self._version: int | None = None
        self._read_at = float(0)
        self._pause_s = FIRST_PAUSE_S
        self._unreadable = RowReports()
        self._failures = RowReports(events.LISTENER_FAILED)

    def seconds_since_answer(self) -> float:
        """Return the seconds for which the store has told nothing."""
        if self.heard_at is None:
            return float('inf')
        return self._clock.monotonic() - self.heard_at

    def step(self) -> None:
        """Read once; pause after a failure."""
        try:
            self._read()
        except HistoryLost:
            logs.emit(events.HISTORY_LOST, table=self._table)
            self._version = None
        except StoreUnavailable as exc:
            logs.emit(events.WATCH_FAILED, table=self._table, error=str(exc))
            self._rest()
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
            wait_s = min(WAIT_S, max(LEAST_WAIT_S, left_s))
            found = self._watch.changes(self._table, self._version, wait_s)
            whole = False
        self._tell_of_outage()
        if whole:
            keys = {row.key for row in found.rows}
            self._tell(
                self._table,
                found.version,
                lambda: self._listener.retain(keys),
            )
        for row in found.rows:
            self._put(row)
        self._version = found.version
        self._tell(
            self._table,
            found.version,
            lambda: self._listener.up_to_date(now, whole),
        )

    def _tell_of_outage(self) -> None:
        """Tell the listener, before its rows, that an outage has ended."""
        if self._contact.outages == self._outages:
            return
        self._outages = self._contact.outages
        since = self._contact.since
        self._tell(
            self._table,
            ABSENT,
            lambda: self._listener.store_recovered(since),
        )

    def _put(self, row: Row) -> None:
        """Have the listener take a row."""
        self._tell(row.key, row.version, lambda: self._listener.put(row))

    def _tell(self, key: str, version: int, say: Callable[[], None]) -> None:
        """Tell the listener; what it cannot take costs that alone.

        Guards against a table that is read again and again from its
        beginning and never past the row at which the listener fails.
        """
        try:
            say()
        except UnreadableRecord as exc:
            self._unreadable.report_once(key, version, str(exc))
        except Exception as fault:
            self._failures.report_once(key, version, repr(fault))

    def _rest(self) -> None:
        gevent.sleep(self._pause_s * self._rng.uniform(0.5, 1))
        self._pause_s = min(MAX_PAUSE_S, self._pause_s * 2)
