"""The span ledger against a naive one, with faults among the steps."""

import unittest
from unittest import mock

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from cactusridge.batch import held_span
from cactusridge.batch.held_span import HeldSpan, JobCancelled, LeaseLost
from cactusridge.batch.jobs import Progress, cancel_key, progress_key
from cactusridge.batch.span import ChunkResult, Span, done_key, parse_span
from cactusridge.clock import ManualClock
from cactusridge.startup.models import BatchSettings
from cactusridge.store.table import Priority, Write
from standins.faults import FaultKind
from standins.memory_table import MemoryTable

CHUNKS = 3
HOLDERS = ('a', 'b', 'c')
FAULTS = (FaultKind.down, FaultKind.cut, FaultKind.lose_answer)
CFG = BatchSettings(shards=1)
SPAN = Span(
    job='j',
    team='t',
    number=0,
    service='/s',
    url='/u',
    segment='s',
    offsets=[0, 1, 2, 3],
    items=CHUNKS,
    due=0,
    created=0,
    repeatable=True,
)


def new_table() -> MemoryTable:
    """Return a table with one open span."""
    table = MemoryTable()
    held = HeldSpan(CFG, table, ManualClock(), SPAN, 0)
    rows = [
        Write(held.key, SPAN._asdict()),
        Write(progress_key('j'), Progress()._asdict()),
    ]
    table.transact([], rows, Priority.acceptance)
    return table


class LedgerMachine(RuleBasedStateMachine):
    """Holders take, commit, give back and close in any order."""

    def __init__(self):
        """Start with nobody holding anything."""
        super().__init__()
        self.table = new_table()
        self.clock = ManualClock()
        self.held = {}
        self.holder = None
        self.done = {}
        self.cancelled = False
        self.closed = False
        self.serial = 0

    @initialize()
    def no_pauses(self):
        """Repeat without waiting."""
        patch = mock.patch.object(held_span, 'FIRST_PAUSE_S', 0)
        patch.start()
        self.patches = [patch]

    def teardown(self):
        """Take the patches back."""
        for patch in self.patches:
            patch.stop()

    @rule(faults=st.lists(st.sampled_from(FAULTS), max_size=3))
    def trouble(self, faults):
        """Let the next writes fail."""
        self.table.faults.extend(faults)

    @rule(name=st.sampled_from(HOLDERS))
    def take(self, name):
        """Take the span, as one does whose watch says it is free."""
        row = self.table.read([self.key()], Priority.lease)[0]
        if row.value is None:
            return
        found = HeldSpan(
            CFG,
            self.table,
            self.clock,
            parse_span(row),
            row.version,
        )
        if self.ends(lambda: found.take(name, [0]), False):
            self.held[name] = found
            self.holder = name

    @rule(name=st.sampled_from(HOLDERS), chunk=st.integers(0, CHUNKS - 1))
    def commit(self, name, chunk):
        """Commit a chunk, as a holder or as one that was."""
        held = self.held.get(name)
        if held is None or str(chunk) in held.span.done:
            return
        self.serial += 1
        found = ChunkResult(f'o{self.serial}', 1, 1, 1, 0)
        if self.ends(lambda: held.commit(chunk, found, []), name):
            self.done[str(chunk)] = list(found)

    @rule(name=st.sampled_from(HOLDERS))
    def renew(self, name):
        """Renew a lease."""
        held = self.held.get(name)
        if held is not None:
            self.ends(held.renew, name)

    @rule(name=st.sampled_from(HOLDERS))
    def hand_back(self, name):
        """Give a lease up."""
        held = self.held.get(name)
        if held is not None:
            self.ends(held.hand_back, name)

    @rule()
    def cancel(self):
        """Cancel the job."""
        row = Write(cancel_key('j'), {'when': 0})
        self.table.faults.clear()
        self.table.transact([], [row], Priority.commit)
        self.cancelled = True

    @rule(name=st.sampled_from(HOLDERS))
    def close(self, name):
        """Close the span, as a holder or as one that was."""
        held = self.held.get(name)
        if held is None:
            return
        cancelled = self.cancelled
        try:
            held.close(cancelled)
        except LeaseLost:
            assert self.holder != name
            return
        if not self.closed:
            assert self.holder == name
        self.closed = True

    @invariant()
    def results_are_the_naive_ones(self):
        """What is stored is what the naive ledger has."""
        key = done_key('j', 0) if self.closed else self.key()
        row = self.table.read([key], Priority.commit)[0]
        assert row.value['done'] == self.done

    @invariant()
    def closed_once(self):
        """The job counts the span once, with the naive counts."""
        key = progress_key('j')
        progress = self.table.read([key], Priority.commit)[0].value
        assert progress['spans'] == int(self.closed)
        if self.closed:
            assert progress['ok'] == len(self.done)

    def key(self):
        """Return the key of the open span."""
        return HeldSpan(CFG, self.table, self.clock, SPAN, 0).key

    def ends(self, action, name):
        """Run an action; tell whether it took effect, as it should."""
        should = name is False or self.holder == name
        try:
            action()
        except JobCancelled:
            assert self.cancelled
            return False
        except LeaseLost:
            assert not should or self.closed
            return False
        assert should and not self.cancelled and not self.closed
        return True


LedgerMachine.TestCase.settings = settings(
    max_examples=150,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class TestLedger(LedgerMachine.TestCase):
    """Runs the machine."""


class TestTwoHolders(unittest.TestCase):
    """One that lost its lease and does not know it."""

    def test_the_first_holder_commits_nothing_more(self):
        """Its writes fail; the second holder's stand."""
        table = new_table()
        clock = ManualClock()
        first = HeldSpan(CFG, table, clock, SPAN, table.store.version)
        first.take('a', [0])
        second = HeldSpan(CFG, table, clock, first.span, table.store.version)
        second.take('b', [0])
        self.assertGreater(second.fence, first.fence)
        found = ChunkResult('o', 1, 1, 1, 0)
        second.commit(0, found, [])
        with self.assertRaises(LeaseLost):
            first.commit(0, ChunkResult('x', 1, 1, 1, 0), [])
        with self.assertRaises(LeaseLost):
            first.renew()
        row = table.read([first.key], Priority.commit)[0]
        self.assertEqual({'0': list(found)}, row.value['done'])

    def test_lease_passes_before_another_may_take_it(self):
        """The holder's deadline is earlier than the others' patience."""
        clock = ManualClock()
        table = new_table()
        held = HeldSpan(CFG, table, clock, SPAN, table.store.version)
        held.take('a', [0])
        self.assertTrue(held.lease.valid())
        clock.advance(CFG.lease_s - CFG.lease_margin_s)
        self.assertFalse(held.lease.valid())
        held.renew()
        self.assertTrue(held.lease.valid())
