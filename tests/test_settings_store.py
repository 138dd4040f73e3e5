"""Compares the settings store with a dict model, with injected faults."""

import random
from unittest import mock

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from cactusridge.clock import ManualClock
from cactusridge.errors import StoreUnavailable
from cactusridge.settings import store as store_module
from cactusridge.settings.follower import PeerSource, SettingsFollower
from cactusridge.settings.store import SettingsConflict, SettingsStore
from cactusridge.settings.tree import SettingsTree, Snapshot
from standins.faults import FaultKind
from standins.memory_table import MemoryTable

PATHS = (
    '/teams/t',
    '/teams/t/deployments/d',
    '/teams/u',
)
FAULTS = (FaultKind.cut, FaultKind.lose_answer)
RAW = ({}, None)


class Peer(PeerSource):
    """A peer source that returns its tree even if it is old."""

    def __init__(self, tree: SettingsTree) -> None:
        """Return snapshots of ``tree``."""
        self.tree = tree

    def changes_after(self, version: int) -> Snapshot | None:
        """Return the tree even if it is older than ``version``."""
        return self.tree.snapshot()


class SettingsMachine(RuleBasedStateMachine):
    """Operators set paths while two followers update at any time."""

    def __init__(self):
        """Start with an empty store, two followers and an old peer."""
        super().__init__()
        self.table = MemoryTable()
        rng = random.Random(1)
        self.store = SettingsStore(self.table, ManualClock(), rng)
        self.expected = {}
        self.version = 0
        self.peer_tree = SettingsTree()
        self.followers = [
            SettingsFollower(SettingsTree(), self.store, Peer(self.peer_tree))
            for _ in range(2)
        ]
        self.applied = [0, 0]

    @initialize()
    def no_pauses(self):
        """Set the backoff between attempts to 0 seconds."""
        names = ('FIRST_BACKOFF_S', 'MAX_BACKOFF_S')
        self.patches = [
            mock.patch.object(store_module, name, 0) for name in names
        ]
        for patch in self.patches:
            patch.start()

    def teardown(self):
        """Restore the backoff."""
        for patch in self.patches:
            patch.stop()

    @rule(faults=st.lists(st.sampled_from(FAULTS), max_size=3))
    def trouble(self, faults):
        """Inject faults into the next writes to the table."""
        self.table.faults.extend(faults)

    @rule(
        path=st.sampled_from(PATHS),
        raw=st.sampled_from(RAW),
        stale=st.booleans(),
    )
    def put(self, path, raw, stale):
        """Set a path with its current version, or with a stale one."""
        at = self.expected.get(path, (0, None))[0]
        given = at - 1 if stale else at
        try:
            change = self.store.put(path, raw, given, 'someone')
        except SettingsConflict:
            assert stale
            return
        assert not stale
        self.version += 1
        assert change.version == self.version
        self.expected[path] = (self.version, raw)

    @rule(which=st.integers(0, 1))
    def follow(self, which):
        """Update a follower from the store."""
        self.followers[which].step()
        assert self.followers[which].tree.version == self.version

    @rule(which=st.integers(0, 1))
    def outage(self, which):
        """Update a follower while the store is unavailable."""
        follower = self.followers[which]
        away = StoreUnavailable(retry_after_s=1)
        with mock.patch.object(self.store, 'head', side_effect=away):
            follower.step()

    @rule(which=st.integers(0, 1))
    def remember(self, which):
        """Load a follower's current tree into the peer."""
        self.peer_tree.load(self.followers[which].tree.snapshot())

    @invariant()
    def never_back(self):
        """The version of a follower never decreases."""
        versions = [follower.tree.version for follower in self.followers]
        assert all(
            new >= old for new, old in zip(versions, self.applied, strict=True)
        )
        self.applied = versions

    @invariant()
    def in_force_is_what_was_accepted(self):
        """An up-to-date follower has the same settings as the model."""
        wanted = {
            path: raw
            for path, (_, raw) in self.expected.items()
            if raw is not None
        }
        for follower in self.followers:
            if follower.tree.version == self.version:
                found = {
                    path: follower.tree.raw(path)
                    for path in follower.tree.paths()
                }
                assert found == wanted, (found, wanted)


SettingsMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
)


class TestSettingsStore(SettingsMachine.TestCase):
    """Runs the state machine."""
