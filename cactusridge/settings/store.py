"""Settings in the platform's table: compare-and-set, history, reading."""

import random
from typing import Any

import gevent

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import Conflict, OutcomeUnknown, StoreUnavailable
from cactusridge.identity import new_id
from cactusridge.settings import paths, schema
from cactusridge.settings.rows import (
    HEAD,
    NODE_PREFIX,
    NodeState,
    history_key,
    node_in,
    past_in,
    version_in,
)
from cactusridge.settings.tree import Change, Snapshot
from cactusridge.store.row_reader import RowReader
from cactusridge.store.table import (
    Condition,
    ConditionFailed,
    Priority,
    Row,
    Table,
    Write,
    WriteUnknown,
    by_key,
    scan_all,
)
from cactusridge.store.unreadable import UnreadableRecord

TRIES = 30
PAUSE_S = 0.05
MAX_PAUSE_S = 1
CHANGES_A_READ = 200


class SettingsConflict(Conflict):
    """The path was changed by another since the version given."""

    code = 'settings_conflict'


class SettingsStore:
    """Reads and changes the settings kept in the table."""

    def __init__(self, table: Table, clock: Clock, rng: random.Random) -> None:
        """Keep the settings in ``table``."""
        self._table = table
        self._clock = clock
        self._rng = rng
        self._reader = RowReader()

    def put(self, path: str, raw: Any, if_version: int, who: str) -> Change:
        """Set ``path`` if its version is ``if_version``; return the change.

        ``raw`` None removes the node. Raises SettingsConflict with both
        values when another operator was first.
        """
        node_path = paths.parse(path)
        if raw is not None:
            schema.validate(node_path.kind, raw)
        write_id = new_id('w', self._clock)
        change = Change(0, path, raw, who, self._clock.wall(), write_id)
        pause_s = PAUSE_S
        sent = False
        for _ in range(TRIES):
            try:
                return self._try(change, if_version)
            except ConditionFailed:
                # Another path was changed meanwhile, or an earlier try
                # took effect: the next look tells.
                pause_s = PAUSE_S
            except WriteUnknown:
                sent = True
                pause_s = min(MAX_PAUSE_S, pause_s * 2)
            except (StoreUnavailable, UnreadableRecord):
                if not sent:
                    raise
                pause_s = min(MAX_PAUSE_S, pause_s * 2)
            gevent.sleep(self._rng.uniform(pause_s / 2, pause_s))
        raise OutcomeUnknown('the store did not say whether it took effect')

    def read(self, path: str) -> Change:
        """Return what is stored at ``path``, with its version."""
        change = self._state(path).change or Change(0, path, None)
        return change._replace(write_id='')

    def head(self) -> int:
        """Return the tree's version as the store says it."""
        row = self._table.read([HEAD], Priority.settings)[0]
        return self._reader.read(row, version_in) or 0

    def changes(self, first: int, last: int) -> list[Change]:
        """Return the changes ``first`` to ``last``, as far as is known.

        Raises UnreadableRecord if the first is there and unreadable.
        """
        found = []
        for row in self._past(first, last):
            try:
                change = self._reader.read(row, past_in)
            except UnreadableRecord:
                if not found:
                    raise
                break
            if change is not None:
                found.append(change)
        return found

    def snapshot(self) -> Snapshot:
        """Return the whole tree, not older than when the call began."""
        version = self.head()
        rows = scan_all(self._table, f'{NODE_PREFIX}/', Priority.settings)
        found = by_key(rows)
        changes = list(self._reader.readable(found.values(), node_in))
        nodes = [
            (change.path, change.raw, change.version)
            for change in changes
            if change.raw is not None
        ]
        paths_there = {key.removeprefix(NODE_PREFIX) for key in found}
        unreadable = paths_there - {change.path for change in changes}
        # Nodes changed during the scan belong to later versions; those
        # changes are read again from the history and applied in order.
        return Snapshot(version, nodes, tuple(unreadable))

    def history(self, path: str, limit: int) -> list[Change]:
        """Return the last changes at or below ``path``, newest first."""
        last = self.head()
        found: list[Change] = []
        while last > 0 and len(found) < limit:
            first = max(1, last - CHANGES_A_READ + 1)
            past = self._reader.readable(self._past(first, last), past_in)
            found.extend(
                change
                for change in reversed(list(past))
                if change.path == path or change.path.startswith(f'{path}/')
            )
            last = first - 1
        return found[:limit]

    def _try(self, change: Change, if_version: int) -> Change:
        state = self._state(change.path)
        done = self._own(state, change, if_version)
        if done is not None:
            return done
        if state.node_version != if_version:
            raise self._conflict(state, change, if_version)
        done = change._replace(version=state.version + 1)
        self._table.transact(
            [
                Condition(HEAD, state.head.version),
                Condition(state.node.key, state.node.version),
            ],
            [
                Write(HEAD, {'version': done.version}),
                Write(state.node.key, done._asdict()),
                Write(history_key(done.version), done._asdict()),
            ],
            Priority.settings,
        )
        logs.emit(
            events.SETTINGS_WRITTEN,
            path=done.path,
            version=done.version,
            who=done.who,
        )
        return done

    def _own(
        self,
        state: NodeState,
        change: Change,
        if_version: int,
    ) -> Change | None:
        """Return this change if an earlier try of it took effect."""
        stored = state.change
        if stored is None or stored.version == if_version:
            return None
        if stored.write_id == change.write_id:
            return stored
        # It may have taken effect and then been changed by another.
        first = max(if_version + 1, state.version - CHANGES_A_READ + 1)
        rows = self._past(first, state.version)
        found = list(self._reader.readable(rows, past_in))
        for past in found:
            if past.write_id == change.write_id:
                logs.emit(events.WRITE_RESOLVED, path=change.path)
                return past
        if len(found) < len([row for row in rows if not row.absent]):
            raise OutcomeUnknown('the history of the change cannot be read')
        return None

    def _conflict(
        self,
        state: NodeState,
        change: Change,
        if_version: int,
    ) -> SettingsConflict:
        stored = state.change or Change(0, change.path, None)
        logs.emit(
            events.SETTINGS_REFUSED,
            path=change.path,
            who=change.who,
            version=state.node_version,
        )
        return SettingsConflict(
            f'{change.path} is at version {state.node_version}, not'
            f' {if_version}; theirs: {stored.raw!r}'
            f' by {stored.who}; yours: {change.raw!r}',
            param=str(state.node_version),
        )

    def _state(self, path: str) -> NodeState:
        key = f'{NODE_PREFIX}{path}'
        rows = by_key(self._table.read([HEAD, key], Priority.settings))
        return NodeState(
            rows[HEAD],
            rows[key],
            self._reader.read(rows[HEAD], version_in) or 0,
            self._reader.read(rows[key], node_in),
        )

    def _past(self, first: int, last: int) -> list[Row]:
        """Return the rows of some changes ``first`` to ``last``."""
        last = min(last, first + CHANGES_A_READ - 1)
        keys = [history_key(number) for number in range(first, last + 1)]
        return self._table.read(keys, Priority.settings)
