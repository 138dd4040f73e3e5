"""The settings in force in this process; the version only grows."""

import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

import orjson

from cactusridge import events
from cactusridge.settings import paths, schema
from cactusridge.store.row_reports import RowReports

MAX_MODELS = 512


class Change(NamedTuple):
    """One accepted change; ``raw`` None removes the node."""

    version: int
    path: str
    raw: Any
    who: str = ''
    when: float = 0
    write_id: str = ''


class Node(NamedTuple):
    """A node in force: its JSON and the tree's version that set it."""

    encoded: bytes
    version: int


class Snapshot(NamedTuple):
    """All nodes at one version: ``(path, raw, version)`` each.

    Nodes at the ``unreadable`` paths are there and could not be read.
    """

    version: int
    nodes: list[tuple[str, Any, int]]
    unreadable: tuple[str, ...] = ()


class SettingsTree:
    """Nodes by path; a lower version than the one applied has no effect.

    Nodes are held as JSON; checked models are made when asked for and
    only those last used are kept, so that many teams cost little memory.
    """

    def __init__(self) -> None:
        """Start empty at version 0."""
        self.version = 0
        self._nodes: dict[str, Node] = {}
        self._models: OrderedDict[str, Any] = OrderedDict()
        self._followers: list[Callable[[str], None]] = []
        self._failures = RowReports(events.LISTENER_FAILED)

    def follow(self, on_change: Callable[[str], None]) -> None:
        """Call ``on_change`` with each path that changes, from now on."""
        self._followers.append(on_change)
        self._tell(tuple(self._nodes))

    def apply(self, change: Change) -> bool:
        """Apply the next change; False when it is not the next one."""
        if change.version != self.version + 1:
            return False
        self._models.pop(change.path, None)
        if change.raw is None:
            self._nodes.pop(change.path, None)
        else:
            self._nodes[change.path] = _node(change.raw, change.version)
        self.version = change.version
        self._tell((change.path,))
        return True

    def load(self, snapshot: Snapshot) -> bool:
        """Replace all nodes if ``snapshot`` is newer; tell whether it was.

        Where it could not be read the last good node stays.
        """
        if snapshot.version <= self.version:
            return False
        before = set(self._nodes)
        kept = {
            path: self._nodes[path]
            for path in before.intersection(snapshot.unreadable)
        }
        self._nodes = kept | {
            path: _node(raw, version) for path, raw, version in snapshot.nodes
        }
        self._models.clear()
        self.version = snapshot.version
        self._tell(before | set(self._nodes))
        return True

    def snapshot(self) -> Snapshot:
        """Return all nodes, to hand to a peer."""
        nodes = [
            (path, orjson.loads(node.encoded), node.version)
            for path, node in self._nodes.items()
        ]
        return Snapshot(self.version, nodes)

    def raw(self, path: str) -> Any:
        """Return what is set at ``path``, or None."""
        node = self._nodes.get(path)
        return orjson.loads(node.encoded) if node else None

    def node_version(self, path: str) -> int:
        """Return the version that set ``path``; 0 when nothing has."""
        node = self._nodes.get(path)
        return node.version if node else 0

    def model(self, path: str) -> Any:
        """Return the checked settings at ``path``, or None."""
        model = self._models.get(path)
        if model is None:
            raw = self.raw(path)
            if raw is None:
                return None
            model = schema.validate(paths.parse(path).kind, raw)
            self._models[path] = model
        self._models.move_to_end(path)
        if len(self._models) > MAX_MODELS:
            self._models.popitem(last=False)
        return model

    def paths(self, kind: paths.NodeKind | None = None) -> Iterator[str]:
        """Yield the paths of all nodes, or of one kind."""
        for path in tuple(self._nodes):
            if kind is None or paths.parse(path).kind == kind:
                yield path

    def __len__(self) -> int:
        """Return the number of nodes."""
        return len(self._nodes)

    def _tell(self, changed: Iterable[str]) -> None:
        for path, on_change in itertools.product(changed, self._followers):
            try:
                on_change(path)
            except Exception as fault:
                # What one cannot take costs it that path alone.
                self._failures.report_once(path, self.version, repr(fault))


def _node(raw: Any, version: int) -> Node:
    # The encoder's buffer is some KB however short the text; a copy is
    # just as long as it needs to be.
    return Node(bytes(memoryview(orjson.dumps(raw))), version)
