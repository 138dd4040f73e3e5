"""Writes to a span's row compared with a naive model, under store faults."""

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
    """Holders take, commit, hand back and close a span in any order."""

    def __init__(self):
        """Start without any holder."""
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
        """Make store writes retry without a pause."""
        patch = mock.patch.object(held_span, 'FIRST_PAUSE_S', 0)
        patch.start()
        self.patches = [patch]

    def teardown(self):
        """Remove the patches."""
        for patch in self.patches:
            patch.stop()

    @rule(faults=st.lists(st.sampled_from(FAULTS), max_size=3))
    def add_faults(self, faults):
        """Make the next calls to the table fail with ``faults``."""
        self.table.faults.extend(faults)

    @rule(name=st.sampled_from(HOLDERS))
    def take(self, name):
        """Take the span as if the lease watch had reported it as free."""
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
        if self.took_effect(lambda: found.take(name, [0]), False):
            self.held[name] = found
            self.holder = name

    @rule(name=st.sampled_from(HOLDERS), chunk=st.integers(0, CHUNKS - 1))
    def commit(self, name, chunk):
        """Commit a chunk as the current or a former holder."""
        held = self.held.get(name)
        if held is None or str(chunk) in held.span.done:
            return
        self.serial += 1
        found = ChunkResult(f'o{self.serial}', 1, 1, 1, 0)
        if self.took_effect(lambda: held.commit(chunk, found, []), name):
            self.done[str(chunk)] = list(found)

    @rule(name=st.sampled_from(HOLDERS))
    def renew(self, name):
        """Renew the lease as the current or a former holder."""
        held = self.held.get(name)
        if held is not None:
            self.took_effect(held.renew, name)

    @rule(name=st.sampled_from(HOLDERS))
    def hand_back(self, name):
        """Hand the lease back as the current or a former holder."""
        held = self.held.get(name)
        if held is not None:
            self.took_effect(held.hand_back, name)

    @rule()
    def cancel(self):
        """Cancel the job."""
        row = Write(cancel_key('j'), {'when': 0})
        self.table.faults.clear()
        self.table.transact([], [row], Priority.commit)
        self.cancelled = True

    @rule(name=st.sampled_from(HOLDERS))
    def close(self, name):
        """Close the span as the current or a former holder."""
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
        """The stored results are those of the naive model."""
        key = done_key('j', 0) if self.closed else self.key()
        row = self.table.read([key], Priority.commit)[0]
        assert row.value['done'] == self.done

    @invariant()
    def closed_once(self):
        """The job's progress counts the span once, as the model does."""
        key = progress_key('j')
        progress = self.table.read([key], Priority.commit)[0].value
        assert progress['spans'] == int(self.closed)
        if self.closed:
            assert progress['ok'] == len(self.done)

    def key(self):
        """Return the key of the open span."""
        return HeldSpan(CFG, self.table, self.clock, SPAN, 0).key

    def took_effect(self, action, name):
        """Run ``action`` as holder ``name``; return whether it took effect.

        Checks the result against the model. With False as ``name`` the
        action may be run by any holder.
        """
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
    suppress_health_check=list(HealthCheck),
)


class TestLedger(LedgerMachine.TestCase):
    """Runs the state machine."""


class TestTwoHolders(unittest.TestCase):
    """A holder that has lost its lease without having noticed."""

    def test_the_first_holder_commits_nothing_more(self):
        """The first holder's writes fail; the second's result remains."""
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
        """The holder's lease expires before others may take the span."""
        clock = ManualClock()
        table = new_table()
        held = HeldSpan(CFG, table, clock, SPAN, table.store.version)
        held.take('a', [0])
        self.assertTrue(held.lease.valid())
        clock.advance(CFG.lease_s - CFG.lease_margin_s)
        self.assertFalse(held.lease.valid())
        held.renew()
        self.assertTrue(held.lease.valid())
