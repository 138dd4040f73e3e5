"""Keeps strikes in the store for entries that start or reconnect later."""

from collections.abc import Iterable, Sequence

import gevent
from gevent.event import Event

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import StoreUnavailable
from cactusridge.quarantine.crash_evidence import CrashEvidence
from cactusridge.quarantine.strike import Strike, StrikePair
from cactusridge.quarantine.strike_book import STRIKE_LIFETIME_S
from cactusridge.quarantine.strike_listener import StrikeListener
from cactusridge.quarantine.strike_row import (
    decode_strike,
    strike_key,
    strike_write,
)
from cactusridge.store.row_reader import RowReader
from cactusridge.store.table import Priority, Row, Table, Write, WriteUnknown
from cactusridge.store.table_follower import TableListener

# Rows written in one transaction; the store accepts at most 100.
MAX_WRITES_PER_TRANSACTION = 90
RETRY_S = 0.5


class StrikeStore(StrikeListener, TableListener):
    """Writes the strikes of this entry and reads those of all entries.

    A strike whose row has been removed no longer counts: another entry has
    withdrawn it, or an operator has deleted it.
    """

    def __init__(
        self,
        table: Table,
        prefix: str,
        suspects: CrashEvidence,
        clock: Clock,
        min_strikes: int,
    ) -> None:
        """Keep strikes below ``prefix`` of ``table``.

        Only strikes of requests with at least ``min_strikes`` are stored.
        """
        self._table = table
        self._prefix = prefix
        self._suspects = suspects
        self._clock = clock
        self._min_strikes = min_strikes
        self._reader = RowReader()
        self._wake = Event()
        self._unsaved: dict[str, Write] = {}
        self._stored: dict[str, StrikePair] = {}

    def publish_strikes(self, strikes: Sequence[Strike]) -> None:
        """Store the strikes of a request if there are enough of them."""
        if len(strikes) >= self._min_strikes:
            writes = [strike_write(self._prefix, each) for each in strikes]
            self._save(each for each in writes if each.key not in self._stored)

    def publish_withdrawals(self, pairs: Sequence[StrikePair]) -> None:
        """Remove withdrawn strikes from the store if it has them."""
        keys = [strike_key(self._prefix, pair) for pair in pairs]
        for key in keys:
            self._unsaved.pop(key, None)
        self._save(Write(key, None) for key in keys if key in self._stored)

    def put(self, row: Row) -> None:
        """Apply a row that was read; raises UnreadableRecord."""
        strike = self._reader.read(row, decode_strike)
        if strike is None:
            self._forget({row.key})
            return
        self._stored[row.key] = strike.pair
        self._suspects.add_strikes([strike])
        expired = strike.at + STRIKE_LIFETIME_S <= self._clock.wall()
        if expired or self._suspects.is_withdrawn(strike.pair):
            # The strike has expired, or the write that stored it was applied
            # after its removal.
            self._save([Write(row.key, None)])

    def retain(self, keys: set[str]) -> None:
        """Discard the strikes whose rows no longer exist."""
        self._forget(self._stored.keys() - keys)

    def step(self) -> None:
        """Wait for pending writes, then write them; back off on failure."""
        self._wake.wait()
        self._wake.clear()
        try:
            self._write_all()
        except (StoreUnavailable, WriteUnknown) as exc:
            logs.emit(events.STRIKES_UNSAVED, error=str(exc))
            gevent.sleep(RETRY_S)
            self._wake.set()

    def _save(self, writes: Iterable[Write]) -> None:
        for write in writes:
            self._unsaved[write.key] = write
            self._wake.set()

    def _write_all(self) -> None:
        while self._unsaved:
            writes = list(self._unsaved.values())[:MAX_WRITES_PER_TRANSACTION]
            self._table.transact([], writes, Priority.commit)
            for write in writes:
                if self._unsaved.get(write.key) is write:
                    self._unsaved.pop(write.key)

    def _forget(self, keys: Iterable[str]) -> None:
        pairs = [self._stored.pop(key) for key in keys if key in self._stored]
        self._suspects.apply_withdrawals(pairs)
