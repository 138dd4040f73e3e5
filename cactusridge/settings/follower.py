"""Keeps the settings in force equal to the store's, or to the peers'."""

import abc

from cactusridge import events, logs, metrics
from cactusridge.errors import CactusridgeError, StoreUnavailable
from cactusridge.settings.store import SettingsStore
from cactusridge.settings.tree import Change, SettingsTree, Snapshot
from cactusridge.store.unreadable import UnreadableRecord

MAX_REPLAY = 2000


class PeerSource(abc.ABC):
    """Another process that may know newer settings."""

    @abc.abstractmethod
    def changes_after(self, version: int) -> Snapshot | None:
        """Return the peer's tree if newer than ``version``, else None."""


class SettingsFollower:
    """Brings a tree up to date; never takes it back."""

    def __init__(
        self,
        tree: SettingsTree,
        store: SettingsStore,
        peers: PeerSource,
    ) -> None:
        """Follow ``store``, and ``peers`` when it does not answer."""
        self.tree = tree
        self._store = store
        self._peers = peers

    def start(self) -> bool:
        """Fill an empty tree; peers first, since they spare the store."""
        self._from_peers()
        self.step()
        return self.tree.version > 0

    def step(self) -> None:
        """Take what is new, once."""
        try:
            self._from_store()
        except (StoreUnavailable, UnreadableRecord):
            self._from_peers()
        metrics.SETTINGS_VERSION.set({}, self.tree.version)

    def _from_store(self) -> None:
        head = self._store.head()
        if not self.tree.version and head:
            self.tree.load(self._store.snapshot())
        if head - self.tree.version > MAX_REPLAY:
            self.tree.load(self._store.snapshot())
        while self.tree.version < head:
            if not self._apply(self._next(head)):
                # A stale read may lack the newest; the next step has it.
                return

    def _next(self, head: int) -> list[Change]:
        """Return the changes that follow, past one that cannot be read.

        Without the nodes as they are now, that one would keep all later
        changes from this process.
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

    def _from_peers(self) -> None:
        try:
            snapshot = self._peers.changes_after(self.tree.version)
        except CactusridgeError:
            return
        if snapshot is not None and self.tree.load(snapshot):
            logs.emit(events.SETTINGS_FROM_PEER, version=self.tree.version)
