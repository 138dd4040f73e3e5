"""Tests incarnations: successive processes of a replica under one id."""

import unittest

from nose2.tools import params

from cactusridge import events
from cactusridge.fleet.incarnation_order import MAX_UNLISTED
from cactusridge.fleet.replica import UNKNOWN_START, incarnation_key
from cactusridge.fleet.start_time_rule import (
    is_usable_entry,
    most_have_start_time,
)
from cactusridge.http.client import Address
from tests.discovery_case import BORN, ENTRY, UNTOLD, DiscoveryCase

ID = 'i-0'
OLD = incarnation_key(ID, BORN)
ELSEWHERE = '127.0.0.1:8001'
GONE = 'gone'
SPOILED = 'no zone'
DRAINING = 'draining'


class TestKey(unittest.TestCase):
    """Keys of incarnations."""

    @params(
        (('a', UNKNOWN_START), 'a'),
        (('a', 5), 'a@5'),
        (('a@5', UNKNOWN_START), 'a@5@0'),
        (('a@5', 7), 'a@5@7'),
    )
    def test_key(self, incarnation, wanted):
        """No replica id equals the key of another replica's incarnation."""
        self.assertEqual(wanted, incarnation_key(*incarnation))


class TestRule(DiscoveryCase):
    """Entries without a start time."""

    @params(
        (0, 0, False),
        (0, 3, False),
        (1, 1, True),
        (1, 2, False),
        (2, 3, True),
        (2, 4, False),
        (3, 4, True),
    )
    def test_most_tell(self, with_start_time, known, wanted):
        """Start times are expected if most replicas have one."""
        self.assertEqual(wanted, most_have_start_time(with_start_time, known))

    @params(
        (5, UNKNOWN_START, False, True),
        (5, 4, True, True),
        (UNKNOWN_START, UNKNOWN_START, False, True),
        (UNKNOWN_START, UNKNOWN_START, True, False),
        (UNKNOWN_START, 4, False, False),
        (UNKNOWN_START, 4, True, False),
    )
    def test_names_replica(self, born, newest, most_have_start, wanted):
        """An entry without a start time is usable only if most have none.

        An id that had a start time before needs one.
        """
        self.assertEqual(wanted, is_usable_entry(born, newest, most_have_start))

    @params('uuut', 'tuuu', 'utuu', 'uutt', 'ttuu')
    def test_few_tell(self, entries):
        """Without a majority of start times no replica is excluded."""
        for number, kind in enumerate(entries):
            self.put(f'i-{number}', ENTRY if kind == 't' else UNTOLD)
        self.assertEqual(4, len(self.in_choice()))

    @params('uttt', 'tttu', 'tutt', 'uuttt', 'ttutu')
    def test_most_tell_theirs(self, entries):
        """Entries without a start time are excluded if most have one.

        The order of the entries does not matter.
        """
        for number, kind in enumerate(entries):
            self.put(f'i-{number}', ENTRY if kind == 't' else UNTOLD)
        wanted = {f'i-{n}' for n, kind in enumerate(entries) if kind == 't'}
        self.assertEqual(wanted, self.in_choice())
        self.assertLess(0, self.logged(events.START_TIMES_MISSING))

    def test_back_when_few_tell(self):
        """Excluded replicas are used again once most have no start time."""
        self.put('i-0', UNTOLD)
        self.put('i-1', ENTRY)
        self.put('i-2', ENTRY)
        self.remove('i-1')
        self.assertEqual({'i-0', 'i-2'}, self.in_choice())


class TestOrder(DiscoveryCase):
    """The incarnation that counts, whatever the order of the entries."""

    @params(
        # In order, out of order, and delivered late again.
        ([1, 2], 2),
        ([2, 1], 2),
        ([1, 2, 1], 2),
        ([1, 3, 2], 3),
        # With a removal or an unreadable entry in between.
        ([1, GONE], None),
        ([1, GONE, 1], 1),
        ([1, GONE, 2], 2),
        ([2, GONE, 1], None),
        ([1, GONE, 2, 1], 2),
        ([1, 2, GONE, 1, 2], 2),
        ([2, SPOILED, 1], None),
        ([2, SPOILED, 2], 2),
        ([1, SPOILED, 2], 2),
        # With entries without a start time.
        ([0], 0),
        ([0, 1], 1),
        ([1, 0], None),
        ([1, 0, 1], 1),
        ([1, GONE, 0], None),
        ([0, GONE, 0], 0),
        # States: of the same incarnation, of the next one, delivered late.
        ([1, (1, DRAINING)], None),
        ([(1, DRAINING), 1], 1),
        ([(1, DRAINING), 2], 2),
        ([(2, DRAINING), 1], None),
        ([2, (1, DRAINING)], 2),
    )
    def test_order(self, steps, wanted):
        """The newest incarnation that was listed counts, or none."""
        for step in steps:
            self.step(step)
        found = [each.started_at_ms for each in self.fleet.ready('model')]
        born = wanted and BORN + wanted
        self.assertEqual([] if wanted is None else [born], found)

    def step(self, step):
        """List an entry of an incarnation, an unreadable entry, or none."""
        if step == GONE:
            self.remove(ID)
        elif step == SPOILED:
            self.spoil(ID, step)
        else:
            number, state = step if isinstance(step, tuple) else (step, 'ready')
            fields = {'born': BORN + number} if number else {}
            self.put(ID, UNTOLD, state=state, **fields)

    @params(True, False)
    def test_address(self, in_order):
        """The address of the newest incarnation counts."""
        puts = [
            {'born': BORN, 'address': ELSEWHERE},
            {'born': BORN + 1},
        ]
        for changes in puts if in_order else reversed(puts):
            self.put(ID, ENTRY, **changes)
        self.assertEqual({Address('127.0.0.1', 8000)}, self.addresses())

    def test_same_life_moves(self):
        """An entry of the same incarnation updates the replica."""
        self.put(ID, ENTRY)
        self.put(ID, ENTRY, address=ELSEWHERE, slots=3)
        self.assertEqual({Address('127.0.0.1', 8001)}, self.addresses())
        self.assertEqual(3, self.fleet.get(OLD).slots)

    def addresses(self):
        """Return the addresses of the ready replicas."""
        return {each.address for each in self.fleet.ready('model')}

    def test_late_one_is_logged_once(self):
        """An entry of an earlier incarnation is logged once per row version."""
        self.put(ID, ENTRY, born=BORN + 1)
        row = self.put(ID, ENTRY)
        self.list.put(row)
        self.assertEqual(1, self.logged(events.OLDER_INCARNATION_IGNORED))

    @params((MAX_UNLISTED - 1, 0), (MAX_UNLISTED, 1))
    def test_memory_is_bounded(self, others, wanted):
        """The newest start time is kept for the last MAX_UNLISTED replicas."""
        self.put(ID, ENTRY, born=BORN + 1)
        self.remove(ID)
        for number in range(others):
            self.put(f'o-{number}', ENTRY)
            self.remove(f'o-{number}')
        self.put(ID, ENTRY)
        self.assertEqual(wanted, len(self.in_choice()))
