"""Stores settings in the platform's table with compare-and-set."""

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
    parse_head_version,
    parse_history_change,
    parse_node_change,
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

MAX_ATTEMPTS = 30
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1
MAX_CHANGES_PER_READ = 200


class SettingsConflict(Conflict):
    """The path was changed by someone else after the given version."""

    code = 'settings_conflict'


class SettingsStore:
    """Reads and changes the settings in the platform's table."""

    def __init__(self, table: Table, clock: Clock, rng: random.Random) -> None:
        """Store the settings in ``table``."""
        self._table = table
        self._clock = clock
        self._rng = rng
        self._reader = RowReader()

    def put(self, path: str, raw: Any, if_version: int, who: str) -> Change:
        """Set ``path`` if its version is ``if_version``; return the change.

        A ``raw`` of None removes the node. Raises SettingsConflict, whose
        message has both values, if another operator changed the path
        first, and OutcomeUnknown if no attempt could be confirmed.
        """
        node_path = paths.parse(path)
        if raw is not None:
            schema.validate(node_path.kind, raw)
        write_id = new_id('w', self._clock)
        change = Change(0, path, raw, who, self._clock.wall(), write_id)
        backoff_s = FIRST_BACKOFF_S
        may_have_applied = False
        for _ in range(MAX_ATTEMPTS):
            try:
                return self._attempt(change, if_version)
            except ConditionFailed:
                # Another path was changed in the meantime, or an earlier
                # attempt took effect. The next attempt reads the state
                # again and distinguishes the two.
                backoff_s = FIRST_BACKOFF_S
            except WriteUnknown:
                may_have_applied = True
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            except (StoreUnavailable, UnreadableRecord):
                if not may_have_applied:
                    raise
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            gevent.sleep(self._rng.uniform(backoff_s / 2, backoff_s))
        raise OutcomeUnknown(
            'the store did not confirm whether the change took effect'
        )

    def read(self, path: str) -> Change:
        """Return the last change of ``path``; version 0 if there is none."""
        change = self._state(path).change or Change(0, path, None)
        return change._replace(write_id='')

    def head(self) -> int:
        """Return the version of the stored tree, or 0 if it is empty."""
        row = self._table.read([HEAD], Priority.settings)[0]
        return self._reader.read(row, parse_head_version) or 0

    def changes(self, first: int, last: int) -> list[Change]:
        """Return the stored changes ``first`` to ``last``, both inclusive.

        The list ends before the first unreadable change and has at most
        MAX_CHANGES_PER_READ changes. Raises UnreadableRecord if no
        readable change precedes the unreadable one.
        """
        found = []
        for row in self._history_rows(first, last):
            try:
                change = self._reader.read(row, parse_history_change)
            except UnreadableRecord:
                if not found:
                    raise
                break
            if change is not None:
                found.append(change)
        return found

    def snapshot(self) -> Snapshot:
        """Return the whole tree, at least as new as at the call's start."""
        version = self.head()
        rows = scan_all(self._table, f'{NODE_PREFIX}/', Priority.settings)
        found = by_key(rows)
        changes = list(self._reader.readable(found.values(), parse_node_change))
        nodes = [
            (change.path, change.raw, change.version)
            for change in changes
            if change.raw is not None
        ]
        stored_paths = {key.removeprefix(NODE_PREFIX) for key in found}
        unreadable = stored_paths - {change.path for change in changes}
        # Nodes that changed during the scan belong to later versions.
        # The follower reads those changes from the history afterwards and
        # applies them again in order.
        return Snapshot(version, nodes, tuple(unreadable))

    def history(self, path: str, limit: int) -> list[Change]:
        """Return the last changes at or below ``path``, newest first."""
        last = self.head()
        found: list[Change] = []
        while last > 0 and len(found) < limit:
            first = max(1, last - MAX_CHANGES_PER_READ + 1)
            past = self._reader.readable(
                self._history_rows(first, last), parse_history_change
            )
            found.extend(
                change
                for change in reversed(list(past))
                if change.path == path or change.path.startswith(f'{path}/')
            )
            last = first - 1
        return found[:limit]

    def _attempt(self, change: Change, if_version: int) -> Change:
        state = self._state(change.path)
        done = self._applied_change(state, change, if_version)
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

    def _applied_change(
        self,
        state: NodeState,
        change: Change,
        if_version: int,
    ) -> Change | None:
        """Return the stored change if an earlier attempt took effect.

        Raises OutcomeUnknown if unreadable history rows make this unclear.
        """
        stored = state.change
        if stored is None or stored.version == if_version:
            return None
        if stored.write_id == change.write_id:
            return stored
        # An earlier attempt may have taken effect, and someone else may
        # have changed the node after it. The history shows whether.
        first = max(if_version + 1, state.version - MAX_CHANGES_PER_READ + 1)
        rows = self._history_rows(first, state.version)
        found = list(self._reader.readable(rows, parse_history_change))
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
            f' {if_version}; stored value: {stored.raw!r}'
            f' by {stored.who}; rejected value: {change.raw!r}',
            param=str(state.node_version),
        )

    def _state(self, path: str) -> NodeState:
        key = f'{NODE_PREFIX}{path}'
        rows = by_key(self._table.read([HEAD, key], Priority.settings))
        return NodeState(
            rows[HEAD],
            rows[key],
            self._reader.read(rows[HEAD], parse_head_version) or 0,
            self._reader.read(rows[key], parse_node_change),
        )

    def _history_rows(self, first: int, last: int) -> list[Row]:
        """Return the history rows of changes ``first`` to ``last``.

        Returns at most MAX_CHANGES_PER_READ rows, from ``first`` on.
        """
        last = min(last, first + MAX_CHANGES_PER_READ - 1)
        keys = [history_key(number) for number in range(first, last + 1)]
        return self._table.read(keys, Priority.settings)
