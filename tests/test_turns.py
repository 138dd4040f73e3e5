"""The order of waiting requests: priorities, fair shares and deadlines."""

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from cactusridge.queueing.turns import LOWER_TURN_EVERY, Turn, Turns

TURN = st.builds(
    Turn,
    priority=st.integers(0, 3),
    organisation=st.sampled_from('abcde'),
    deadline_at=st.integers(0, 9),
)
TURN_LISTS = st.lists(TURN, max_size=120)


def filled(listed):
    """Return an order of numbered requests with the given turns."""
    turns = Turns()
    for number, turn in enumerate(listed):
        turns.push(number, turn)
    return turns


def taken(turns):
    """Return all requests in the order of their turns."""
    return [turns.take() for _ in range(len(turns))]


class TestTurns(unittest.TestCase):
    """Properties of the order for arbitrary waiting requests."""

    @given(TURN_LISTS)
    def test_work_conserving(self, listed):
        """While a request waits there is a next one, and each comes once.

        Otherwise a free slot would stay unused or a request would be lost.
        """
        turns = filled(listed)
        order = []
        while len(turns):
            first = turns.first()
            order.append(turns.take())
            self.assertEqual(first, order[-1])
        self.assertEqual(list(range(len(listed))), sorted(order))
        self.assertIsNone(turns.first())

    @given(TURN_LISTS)
    def test_no_starvation(self, listed):
        """Every priority that waits has a turn among a bounded number.

        A strict order would let a busy highest priority starve the others.
        """
        limit = LOWER_TURN_EVERY * len({turn.priority for turn in listed})
        missed = Counter()
        left = Counter(turn.priority for turn in listed)
        for number in taken(filled(listed)):
            served = listed[number].priority
            left[served] -= 1
            missed[served] = 0
            for priority, count in left.items():
                if count and priority != served:
                    missed[priority] += 1
                    self.assertLess(missed[priority], limit)

    @given(TURN_LISTS)
    def test_fair_within_one_turn(self, listed):
        """Waiting organisations of a priority never differ by two turns.

        Otherwise one that asks more often than others would get more slots.
        """
        for priority in range(4):
            same = [turn for turn in listed if turn.priority == priority]
            served = Counter()
            left = Counter(turn.organisation for turn in same)
            for number in taken(filled(same)):
                served[same[number].organisation] += 1
                left[same[number].organisation] -= 1
                waiting = [served[name] for name in left if left[name]]
                most = max(served.values())
                self.assertLessEqual(most - min(waiting, default=most), 1)

    @given(TURN_LISTS)
    def test_earliest_deadline(self, listed):
        """Within an organisation and priority the earliest deadline is first.

        Any other order lets requests expire that could be served.
        """
        latest = {}
        for number in taken(filled(listed)):
            turn = listed[number]
            key = (turn.priority, turn.organisation)
            self.assertGreaterEqual(turn.deadline_at, latest.get(key, 0))
            latest[key] = turn.deadline_at

    @given(TURN_LISTS, st.data())
    def test_discard(self, listed, choices):
        """A discarded request has no turn, and all others still have one."""
        turns = filled(listed)
        gone = set()
        if listed:
            number = st.integers(0, len(listed) - 1)
            gone = choices.draw(st.sets(number))
        for number in gone:
            self.assertTrue(turns.discard(number))
            self.assertFalse(turns.discard(number))
        self.assertEqual(len(listed) - len(gone), len(turns))
        left = set(range(len(listed))) - gone
        self.assertEqual(left, set(taken(turns)))

    @given(TURN_LISTS)
    def test_places(self, listed):
        """The computed places are those of the turns without lower turns.

        Within an organisation's round the order of organisations is open, so
        a place may be overestimated by the number of other organisations. A
        place that is too low would promise a turn that comes too late.
        """
        for priority in range(4):
            same = [turn for turn in listed if turn.priority == priority]
            turns = filled(same)
            places = turns.places()
            organisations = len({turn.organisation for turn in same})
            for actual, number in enumerate(taken(turns)):
                self.assertGreaterEqual(places[number], actual)
                self.assertLess(places[number] - actual, organisations)


class TestPriorities(unittest.TestCase):
    """Turns of several priorities."""

    @params(2, 3)
    def test_tenth_turn(self, count):
        """The lower priorities together have every tenth turn, one by one."""
        listed = [
            Turn(priority, 'a', number)
            for priority in range(count)
            for number in range(100)
        ]
        turns = filled(listed)
        order = [listed[turns.take()].priority for _ in range(100)]
        lower = [place for place, priority in enumerate(order) if priority]
        self.assertEqual(list(range(9, 100, 10)), lower)
        served = Counter(order)
        shares = [served[priority] for priority in range(1, count)]
        self.assertLessEqual(max(shares) - min(shares), 1)

    def test_shares_outlast_an_empty_queue(self):
        """Who had the last turn comes after others when requests wait again.

        Queues are empty between bursts. Without memory, the organisation that
        asks most often, and is thus the first to wait, would go first in
        every burst.
        """
        turns = filled([Turn(0, 'large', 1)])
        turns.take()
        turns.push('second', Turn(0, 'large', 1))
        turns.push('small', Turn(0, 'small', 2))
        self.assertEqual('small', turns.take())

    def test_higher_counts_first(self):
        """Requests of higher priorities are before those of lower ones."""
        turns = filled([Turn(1, 'a', 1), Turn(0, 'b', 9), Turn(0, 'a', 9)])
        self.assertEqual(2, turns.places()[0])
