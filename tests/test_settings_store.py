"""The settings store against a plain dict, with faults among the steps."""

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
    """Hands out whatever tree it was given, however old."""

    def __init__(self, tree: SettingsTree) -> None:
        """Hand out ``tree``."""
        self.tree = tree

    def changes_after(self, version: int) -> Snapshot | None:
        """Return the tree, also when it is older."""
        return self.tree.snapshot()


class SettingsMachine(RuleBasedStateMachine):
    """Operators set paths; followers run at any time."""

    def __init__(self):
        """Start with an empty tree."""
        super().__init__()
        self.table = MemoryTable()
        rng = random.Random(1)
        self.store = SettingsStore(self.table, ManualClock(), rng)
        self.naive = {}
        self.version = 0
        self.old = SettingsTree()
        self.followers = [
            SettingsFollower(SettingsTree(), self.store, Peer(self.old))
            for _ in range(2)
        ]
        self.applied = [0, 0]

    @initialize()
    def no_pauses(self):
        """Repeat without waiting."""
        names = ('FIRST_BACKOFF_S', 'MAX_BACKOFF_S')
        self.patches = [
            mock.patch.object(store_module, name, 0) for name in names
        ]
        for patch in self.patches:
            patch.start()

    def teardown(self):
        """Take the patches back."""
        for patch in self.patches:
            patch.stop()

    @rule(faults=st.lists(st.sampled_from(FAULTS), max_size=3))
    def trouble(self, faults):
        """Let the next writes fail."""
        self.table.faults.extend(faults)

    @rule(
        path=st.sampled_from(PATHS),
        raw=st.sampled_from(RAW),
        stale=st.booleans(),
    )
    def put(self, path, raw, stale):
        """Set a path at its version, or at an older one."""
        at = self.naive.get(path, (0, None))[0]
        given = at - 1 if stale else at
        try:
            change = self.store.put(path, raw, given, 'someone')
        except SettingsConflict:
            assert stale
            return
        assert not stale
        self.version += 1
        assert change.version == self.version
        self.naive[path] = (self.version, raw)

    @rule(which=st.integers(0, 1))
    def follow(self, which):
        """Let a follower look."""
        self.followers[which].step()
        assert self.followers[which].tree.version == self.version

    @rule(which=st.integers(0, 1))
    def outage(self, which):
        """Let a follower look while the store is away."""
        follower = self.followers[which]
        away = StoreUnavailable(retry_after_s=1)
        with mock.patch.object(self.store, 'head', side_effect=away):
            follower.step()

    @rule(which=st.integers(0, 1))
    def remember(self, which):
        """Let the peer keep what a follower has now."""
        self.old.load(self.followers[which].tree.snapshot())

    @invariant()
    def never_back(self):
        """No process goes back to a lower version."""
        now = [follower.tree.version for follower in self.followers]
        assert all(
            new >= old for new, old in zip(now, self.applied, strict=True)
        )
        self.applied = now

    @invariant()
    def in_force_is_what_was_accepted(self):
        """An up-to-date follower has just what the naive store has."""
        wanted = {
            path: raw
            for path, (_, raw) in self.naive.items()
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
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class TestSettingsStore(SettingsMachine.TestCase):
    """Runs the machine."""
