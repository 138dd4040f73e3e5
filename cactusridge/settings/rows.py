"""Keys and parsers of the store rows that hold settings."""

from typing import Any, Final, NamedTuple

from cactusridge.errors import BadRequest
from cactusridge.settings import paths, schema
from cactusridge.settings.tree import Change
from cactusridge.store.fields import Fields
from cactusridge.store.table import Row
from cactusridge.store.unreadable import UnreadableField

HEAD: Final = 'settings/head'
NODE_PREFIX: Final = 'settings/node'
HISTORY_PREFIX: Final = 'settings/history/'


class NodeState(NamedTuple):
    """The head row and a node's row, with their parsed contents.

    A change to the node is conditional on the versions of both rows.
    ``version`` is the version of the tree. ``change`` is the last change
    of the node, or None if the node has never been set.
    """

    head: Row
    node: Row
    version: int
    change: Change | None

    @property
    def node_version(self) -> int:
        """Return the tree version that last set the node, or 0 if unset."""
        return self.change.version if self.change else 0


def history_key(version: int) -> str:
    """Return the row key of the change that created ``version``."""
    return f'{HISTORY_PREFIX}{version:012}'


def parse_head_version(row: Row) -> int:
    """Return the tree version in the head row; raise UnreadableField."""
    return Fields(row.value).integer('version')


def parse_node_change(row: Row) -> Change:
    """Return the change stored in a node's row; raise UnreadableField."""
    change = _parse_change(row)
    if row.key != f'{NODE_PREFIX}{change.path}':
        raise UnreadableField(f'the row holds a change of {change.path}')
    return change


def parse_history_change(row: Row) -> Change:
    """Return the change in a history row; raise UnreadableField."""
    change = _parse_change(row)
    if row.key != history_key(change.version):
        raise UnreadableField(f'the row holds version {change.version}')
    return change


def _parse_change(row: Row) -> Change:
    fields = Fields(row.value)
    path = fields.text('path')
    raw = fields.mapping('raw', None)
    _validate(path, raw)
    return Change(
        fields.integer('version'),
        path,
        raw,
        fields.text('who', ''),
        fields.number('when', 0),
        fields.text('write_id', ''),
    )


def _validate(path: str, raw: Any) -> None:
    """Raise UnreadableField unless ``raw`` fits the schema of ``path``."""
    try:
        kind = paths.parse(path).kind
        if raw is not None:
            schema.validate(kind, raw)
    except BadRequest as exc:
        raise UnreadableField(str(exc)) from exc
