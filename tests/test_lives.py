"""Lives of replicas: one id, one process after another."""

import unittest

from nose2.tools import params

from cactusridge import events
from cactusridge.fleet.life_order import MAX_UNLISTED
from cactusridge.fleet.life_rule import is_usable_entry, most_have_start_time
from cactusridge.fleet.replica import NOT_TOLD, incarnation_key
from cactusridge.http.client import Address
from tests.discovery_case import BORN, ENTRY, UNTOLD, DiscoveryCase

ID = 'i-0'
OLD = incarnation_key(ID, BORN)
ELSEWHERE = '127.0.0.1:8001'
GONE = 'gone'
SPOILED = 'no zone'
DRAINING = 'draining'


class TestKey(unittest.TestCase):
    """Keys of lives."""

    @params(
        (('a', NOT_TOLD), 'a'),
        (('a', 5), 'a@5'),
        (('a@5', NOT_TOLD), 'a@5@0'),
        (('a@5', 7), 'a@5@7'),
    )
    def test_key(self, life, wanted):
        """No id makes the key of another's life."""
        self.assertEqual(wanted, incarnation_key(*life))


class TestRule(DiscoveryCase):
    """Entries that do not tell their lives."""

    @params(
        (0, 0, False),
        (0, 3, False),
        (1, 1, True),
        (1, 2, False),
        (2, 3, True),
        (2, 4, False),
        (3, 4, True),
    )
    def test_most_tell(self, telling, known, wanted):
        """The list tells lives if most of its replicas do."""
        self.assertEqual(wanted, most_have_start_time(telling, known))

    @params(
        (5, NOT_TOLD, False, True),
        (5, 4, True, True),
        (NOT_TOLD, NOT_TOLD, False, True),
        (NOT_TOLD, NOT_TOLD, True, False),
        (NOT_TOLD, 4, False, False),
        (NOT_TOLD, 4, True, False),
    )
    def test_names_replica(self, born, newest, told, wanted):
        """Without a life it counts where nobody tells one."""
        self.assertEqual(wanted, is_usable_entry(born, newest, told))

    @params('uuut', 'tuuu', 'utuu', 'uutt', 'ttuu')
    def test_few_tell(self, entries):
        """Another writer's one entry puts nobody out, in any order."""
        for number, kind in enumerate(entries):
            self.put(f'i-{number}', ENTRY if kind == 't' else UNTOLD)
        self.assertEqual(4, len(self.in_choice()))

    @params('uttt', 'tttu', 'tutt', 'uuttt', 'ttutu')
    def test_most_tell_theirs(self, entries):
        """Those that do not are left out, in any order."""
        for number, kind in enumerate(entries):
            self.put(f'i-{number}', ENTRY if kind == 't' else UNTOLD)
        wanted = {f'i-{n}' for n, kind in enumerate(entries) if kind == 't'}
        self.assertEqual(wanted, self.in_choice())
        self.assertLess(0, self.logged(events.LIVES_NOT_TOLD))

    def test_back_when_few_tell(self):
        """Whoever was left out is back once most do not tell."""
        self.put('i-0', UNTOLD)
        self.put('i-1', ENTRY)
        self.put('i-2', ENTRY)
        self.remove('i-1')
        self.assertEqual({'i-0', 'i-2'}, self.in_choice())


class TestOrder(DiscoveryCase):
    """Which life counts, whatever the order of the entries."""

    @params(
        # In order, out of order, and late once more.
        ([1, 2], 2),
        ([2, 1], 2),
        ([1, 2, 1], 2),
        ([1, 3, 2], 3),
        # With a removal or a spoiled entry between.
        ([1, GONE], None),
        ([1, GONE, 1], 1),
        ([1, GONE, 2], 2),
        ([2, GONE, 1], None),
        ([1, GONE, 2, 1], 2),
        ([1, 2, GONE, 1, 2], 2),
        ([2, SPOILED, 1], None),
        ([2, SPOILED, 2], 2),
        ([1, SPOILED, 2], 2),
        # With entries that tell no life.
        ([0], 0),
        ([0, 1], 1),
        ([1, 0], None),
        ([1, 0, 1], 1),
        ([1, GONE, 0], None),
        ([0, GONE, 0], 0),
        # States: of the same life, of the next one, late.
        ([1, (1, DRAINING)], None),
        ([(1, DRAINING), 1], 1),
        ([(1, DRAINING), 2], 2),
        ([(2, DRAINING), 1], None),
        ([2, (1, DRAINING)], 2),
    )
    def test_order(self, steps, wanted):
        """The newest life that was listed counts, or none."""
        for step in steps:
            self.step(step)
        found = [each.born for each in self.fleet.ready('model')]
        born = wanted and BORN + wanted
        self.assertEqual([] if wanted is None else [born], found)

    def step(self, step):
        """Let the list hold an entry of a life, a spoiled one, or none."""
        if step == GONE:
            self.remove(ID)
        elif step == SPOILED:
            self.spoil(ID, step)
        else:
            number, state = step if isinstance(step, tuple) else (step, 'ready')
            told = {'born': BORN + number} if number else {}
            self.put(ID, UNTOLD, state=state, **told)

    @params(True, False)
    def test_address(self, in_order):
        """The newest life's address counts."""
        puts = [
            {'born': BORN, 'address': ELSEWHERE},
            {'born': BORN + 1},
        ]
        for changes in puts if in_order else reversed(puts):
            self.put(ID, ENTRY, **changes)
        self.assertEqual({Address('127.0.0.1', 8000)}, self.addresses())

    def test_same_life_moves(self):
        """An entry of the same life is an update."""
        self.put(ID, ENTRY)
        self.put(ID, ENTRY, address=ELSEWHERE, slots=3)
        self.assertEqual({Address('127.0.0.1', 8001)}, self.addresses())
        self.assertEqual(3, self.fleet.get(OLD).slots)

    def addresses(self):
        """Return the addresses in choice."""
        return {each.address for each in self.fleet.ready('model')}

    def test_late_one_is_logged_once(self):
        """A former life is told of once a version of its row."""
        self.put(ID, ENTRY, born=BORN + 1)
        row = self.put(ID, ENTRY)
        self.list.put(row)
        self.assertEqual(1, self.logged(events.LIFE_OUT_OF_ORDER))

    @params((MAX_UNLISTED - 1, 0), (MAX_UNLISTED, 1))
    def test_memory_is_bounded(self, others, wanted):
        """The newest life is remembered until so many others have gone."""
        self.put(ID, ENTRY, born=BORN + 1)
        self.remove(ID)
        for number in range(others):
            self.put(f'o-{number}', ENTRY)
            self.remove(f'o-{number}')
        self.put(ID, ENTRY)
        self.assertEqual(wanted, len(self.in_choice()))
