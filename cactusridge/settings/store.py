"""Settings in the platform's table: compare-and-set, history, reading."""

import random
from typing import Any, NamedTuple

import gevent

from cactusridge import events, logs
from cactusridge.clock import Clock
from cactusridge.errors import Conflict, OutcomeUnknown, StoreUnavailable
from cactusridge.identity import new_id
from cactusridge.settings import paths, schema
from cactusridge.settings.tree import Change, Snapshot
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

HEAD = 'settings/head'
NODE_PREFIX = 'settings/node'
HISTORY_PREFIX = 'settings/history/'
TRIES = 30
PAUSE_S = 0.05
MAX_PAUSE_S = 1
CHANGES_A_READ = 200


class SettingsConflict(Conflict):
    """The path was changed by another since the version given."""

    code = 'settings_conflict'


def version_in(row: Row) -> int:
    """Return the settings version that a row names; 0 when absent."""
    return row.value['version'] if row.value else 0


class NodeState(NamedTuple):
    """The rows that a change is conditional on."""

    head: Row
    node: Row

    @property
    def version(self) -> int:
        """Return the tree's version."""
        return version_in(self.head)

    @property
    def node_version(self) -> int:
        """Return the version that last set the node; 0 when none has."""
        return version_in(self.node)


def history_key(version: int) -> str:
    """Return the key of the change that made ``version``."""
    return f'{HISTORY_PREFIX}{version:012}'


class SettingsStore:
    """Reads and changes the settings kept in the table."""

    def __init__(self, table: Table, clock: Clock, rng: random.Random) -> None:
        """Keep the settings in ``table``."""
        self._table = table
        self._clock = clock
        self._rng = rng

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
            except StoreUnavailable:
                if not sent:
                    raise
                pause_s = min(MAX_PAUSE_S, pause_s * 2)
            gevent.sleep(self._rng.uniform(pause_s / 2, pause_s))
        raise OutcomeUnknown('the store did not say whether it took effect')

    def read(self, path: str) -> Change:
        """Return what is stored at ``path``, with its version."""
        state = self._state(path)
        stored = state.node.value or {'version': 0, 'raw': None}
        return Change(
            stored['version'],
            path,
            stored['raw'],
            stored.get('who', ''),
            stored.get('when', 0),
        )

    def head(self) -> int:
        """Return the tree's version as the store says it."""
        row = self._table.read([HEAD], Priority.settings)[0]
        return version_in(row)

    def changes(self, first: int, last: int) -> list[Change]:
        """Return the changes ``first`` to ``last`` that could be read."""
        last = min(last, first + CHANGES_A_READ - 1)
        keys = [history_key(number) for number in range(first, last + 1)]
        rows = self._table.read(keys, Priority.settings)
        return [Change(**row.value) for row in rows if row.value]

    def snapshot(self) -> Snapshot:
        """Return the whole tree, not older than when the call began."""
        version = self.head()
        rows = scan_all(self._table, f'{NODE_PREFIX}/', Priority.settings)
        nodes = [
            (
                row.key.removeprefix(NODE_PREFIX),
                row.value['raw'],
                row.value['version'],
            )
            for row in rows
            if row.value and row.value['raw'] is not None
        ]
        # Nodes changed during the scan belong to later versions; those
        # changes are read again from the history and applied in order.
        return Snapshot(version, nodes)

    def history(self, path: str, limit: int) -> list[Change]:
        """Return the last changes at or below ``path``, newest first."""
        last = self.head()
        found: list[Change] = []
        while last > 0 and len(found) < limit:
            first = max(1, last - CHANGES_A_READ + 1)
            found.extend(
                change
                for change in reversed(self.changes(first, last))
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
        stored = state.node.value
        if stored is None or state.node_version == if_version:
            return None
        if stored['write_id'] == change.write_id:
            return Change(**stored)
        # It may have taken effect and then been changed by another.
        first = max(if_version + 1, state.version - CHANGES_A_READ + 1)
        for past in self.changes(first, state.version):
            if past.write_id == change.write_id:
                logs.emit(events.WRITE_RESOLVED, path=change.path)
                return past
        return None

    def _conflict(
        self,
        state: NodeState,
        change: Change,
        if_version: int,
    ) -> SettingsConflict:
        stored = state.node.value or {}
        logs.emit(
            events.SETTINGS_REFUSED,
            path=change.path,
            who=change.who,
            version=state.node_version,
        )
        return SettingsConflict(
            f'{change.path} is at version {state.node_version}, not'
            f' {if_version}; theirs: {stored.get("raw")!r}'
            f' by {stored.get("who", "")}; yours: {change.raw!r}',
            param=str(state.node_version),
        )

    def _state(self, path: str) -> NodeState:
        key = f'{NODE_PREFIX}{path}'
        rows = by_key(self._table.read([HEAD, key], Priority.settings))
        return NodeState(rows[HEAD], rows[key])
