"""The settings in force in this process; their version never decreases."""

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
    """One accepted change.

    A ``raw`` of None removes the node. ``when`` is Unix time in seconds.
    """

    version: int
    path: str
    raw: Any
    who: str = ''
    when: float = 0
    write_id: str = ''


class Node(NamedTuple):
    """A node in force: its JSON and the tree version that set it."""

    encoded: bytes
    version: int


class Snapshot(NamedTuple):
    """All nodes of a tree, each as ``(path, raw, version)``.

    ``unreadable`` has the paths of nodes that exist in the store but could
    not be read.
    """

    version: int
    nodes: list[tuple[str, Any, int]]
    unreadable: tuple[str, ...] = ()


class SettingsTree:
    """Holds the nodes by path and ignores versions that are not newer.

    Nodes are held as JSON. Validated models are built on demand, and only
    the MAX_MODELS most recently used ones are cached, so that many teams
    use little memory.
    """

    def __init__(self) -> None:
        """Start empty at version 0."""
        self.version = 0
        self._nodes: dict[str, Node] = {}
        self._models: OrderedDict[str, Any] = OrderedDict()
        self._followers: list[Callable[[str], None]] = []
        self._failure_reports = RowReports(events.LISTENER_FAILED)

    def follow(self, on_change: Callable[[str], None]) -> None:
        """Call ``on_change`` with each path set now and each later change."""
        self._followers.append(on_change)
        self._notify_followers(tuple(self._nodes))

    def apply(self, change: Change) -> bool:
        """Apply ``change``; return False if it is not the next version."""
        if change.version != self.version + 1:
            return False
        self._models.pop(change.path, None)
        if change.raw is None:
            self._nodes.pop(change.path, None)
        else:
            self._nodes[change.path] = _node(change.raw, change.version)
        self.version = change.version
        self._notify_followers((change.path,))
        return True

    def load(self, snapshot: Snapshot) -> bool:
        """Replace all nodes if ``snapshot`` is newer; return whether it was.

        At the snapshot's unreadable paths, the last good node stays.
        """
        if snapshot.version <= self.version:
            return False
        before = set(self._nodes)
        preserved = {
            path: self._nodes[path]
            for path in before.intersection(snapshot.unreadable)
        }
        self._nodes = preserved | {
            path: _node(raw, version) for path, raw, version in snapshot.nodes
        }
        self._models.clear()
        self.version = snapshot.version
        self._notify_followers(before | set(self._nodes))
        return True

    def snapshot(self) -> Snapshot:
        """Return all nodes, for transfer to a peer."""
        nodes = [
            (path, orjson.loads(node.encoded), node.version)
            for path, node in self._nodes.items()
        ]
        return Snapshot(self.version, nodes)

    def raw(self, path: str) -> Any:
        """Return the unvalidated settings at ``path``, or None."""
        node = self._nodes.get(path)
        return orjson.loads(node.encoded) if node else None

    def node_version(self, path: str) -> int:
        """Return the tree version that set ``path``, or 0 if it is not set."""
        node = self._nodes.get(path)
        return node.version if node else 0

    def model(self, path: str) -> Any:
        """Return the settings at ``path`` as a validated model, or None."""
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
        """Yield the paths of all nodes, or of the nodes of ``kind``."""
        for path in tuple(self._nodes):
            if kind is None or paths.parse(path).kind == kind:
                yield path

    def __len__(self) -> int:
        """Return the number of nodes."""
        return len(self._nodes)

    def _notify_followers(self, changed: Iterable[str]) -> None:
        for path, on_change in itertools.product(changed, self._followers):
            try:
                on_change(path)
            except Exception as fault:
                # A follower that fails misses only this path; the other
                # followers and later changes are not affected.
                self._failure_reports.report_once(
                    path, self.version, repr(fault)
                )


def _node(raw: Any, version: int) -> Node:
    # orjson's result keeps a buffer of several KB even for short texts.
    # The copy uses only as much memory as the text needs.
    return Node(bytes(memoryview(orjson.dumps(raw))), version)
