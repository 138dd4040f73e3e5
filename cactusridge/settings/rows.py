"""The rows of the settings, checked when they are read."""

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
    """The rows that a change is conditional on, and what they hold.

    ``version`` is the tree's; ``change`` last set the node, if any did.
    """

    head: Row
    node: Row
    version: int
    change: Change | None

    @property
    def node_version(self) -> int:
        """Return the version that last set the node; 0 when none has."""
        return self.change.version if self.change else 0


def history_key(version: int) -> str:
    """Return the key of the change that made ``version``."""
    return f'{HISTORY_PREFIX}{version:012}'


def version_in(row: Row) -> int:
    """Return the version that the head names; raise UnreadableField."""
    return Fields(row.value).whole('version')


def node_in(row: Row) -> Change:
    """Return the change that set a node; raise UnreadableField."""
    change = _change_in(row)
    if row.key != f'{NODE_PREFIX}{change.path}':
        raise UnreadableField(f'it is of {change.path}')
    return change


def past_in(row: Row) -> Change:
    """Return a change of the history; raise UnreadableField."""
    change = _change_in(row)
    if row.key != history_key(change.version):
        raise UnreadableField(f'it is of version {change.version}')
    return change


def _change_in(row: Row) -> Change:
    fields = Fields(row.value)
    path = fields.text('path')
    raw = fields.mapping('raw', None)
    _check(path, raw)
    return Change(
        fields.whole('version'),
        path,
        raw,
        fields.text('who', ''),
        fields.number('when', 0),
        fields.text('write_id', ''),
    )


def _check(path: str, raw: Any) -> None:
    """Raise UnreadableField unless settings fit their path's schema."""
    try:
        kind = paths.parse(path).kind
        if raw is not None:
            schema.validate(kind, raw)
    except BadRequest as exc:
        raise UnreadableField(str(exc)) from exc
