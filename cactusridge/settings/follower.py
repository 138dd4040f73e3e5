"""Keeps the settings tree up to date from the store or from peers."""

import abc

from cactusridge import events, logs, metrics
from cactusridge.errors import CactusridgeError, StoreUnavailable
from cactusridge.settings.store import SettingsStore
from cactusridge.settings.tree import Change, SettingsTree, Snapshot
from cactusridge.store.unreadable import UnreadableRecord

MAX_REPLAYED_CHANGES = 2000


class PeerSource(abc.ABC):
    """A source of settings held by peer processes."""

    @abc.abstractmethod
    def changes_after(self, version: int) -> Snapshot | None:
        """Return a peer's tree if it is newer than ``version``, else None."""


class SettingsFollower:
    """Updates a settings tree; its version never decreases."""

    def __init__(
        self,
        tree: SettingsTree,
        store: SettingsStore,
        peers: PeerSource,
    ) -> None:
        """Follow ``store``; use ``peers`` while the store is unavailable."""
        self.tree = tree
        self._store = store
        self._peers = peers

    def start(self) -> bool:
        """Load the initial settings; return whether any were found.

        Peers are queried first to reduce the load on the store.
        """
        self._update_from_peers()
        self.step()
        return self.tree.version > 0

    def step(self) -> None:
        """Apply new settings once, from the store or else from peers."""
        try:
            self._update_from_store()
        except (StoreUnavailable, UnreadableRecord):
            self._update_from_peers()
        metrics.SETTINGS_VERSION.set({}, self.tree.version)

    def _update_from_store(self) -> None:
        head = self._store.head()
        if not self.tree.version and head:
            self.tree.load(self._store.snapshot())
        if head - self.tree.version > MAX_REPLAYED_CHANGES:
            self.tree.load(self._store.snapshot())
        while self.tree.version < head:
            if not self._apply(self._next_changes(head)):
                # A stale read may not include the newest changes; the
                # next step reads them.
                return

    def _next_changes(self, head: int) -> list[Change]:
        """Return the next changes after the tree's version, up to ``head``.

        If the next change cannot be read, loads a snapshot of the current
        nodes first. Otherwise that change would block all later changes
        in this process.
        """
        try:
            return self._store.changes(self.tree.version + 1, head)
        except UnreadableRecord:
            self.tree.load(self._store.snapshot())
            return self._store.changes(self.tree.version + 1, head)

    def _apply(self, changes: list[Change]) -> bool:
        applied = [self.tree.apply(change) for change in changes]
        if any(applied):
            logs.emit(events.SETTINGS_APPLIED, version=self.tree.version)
        return any(applied)

    def _update_from_peers(self) -> None:
        try:
            snapshot = self._peers.changes_after(self.tree.version)
        except CactusridgeError:
            return
        if snapshot is not None and self.tree.load(snapshot):
            logs.emit(events.SETTINGS_FROM_PEER, version=self.tree.version)
