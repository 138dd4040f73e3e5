"""Bounds of the requests that wait at an entry, and their summary."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from cactusridge.dispatch.waiting_summary import WaitingSummary
from cactusridge.queueing.waiting_line import WaitingLine
from tests.waiting_calls import waiting

MOST = 6
MOST_BYTES = 1000
ARRIVALS = st.lists(
    st.tuples(st.sampled_from('abc'), st.integers(0, MOST_BYTES)),
    max_size=40,
)


def names(requests):
    """Return the organisations of requests."""
    return [request.turn.organisation for request in requests]


class TestBounds(unittest.TestCase):
    """An entry holds a bounded number of requests and bytes."""

    def setUp(self):
        """Create an empty line."""
        self.line = WaitingLine(MOST, MOST_BYTES)

    def add(self, *added):
        """Add requests; return what exceeds the bounds."""
        excess = []
        for request in added:
            self.line.add(request)
            excess.extend(self.line.pop_excess())
        return excess

    @given(ARRIVALS)
    def test_never_exceeded(self, arrivals):
        """Neither bound is exceeded, and no request is lost or kept twice.

        Without bounds, a flood of requests exhausts the process's memory.
        """
        line = WaitingLine(MOST, MOST_BYTES)
        added = []
        removed = []
        for organisation, size in arrivals:
            added.append(waiting(organisation, body=b'x' * size))
            line.add(added[-1])
            removed.extend(line.pop_excess())
            self.assertLessEqual(len(line), MOST)
            held = sum(request.body_bytes for request in line)
            self.assertLessEqual(held, MOST_BYTES)
        self.assertEqual(len(added), len(removed) + len(line))
        self.assertEqual(set(added), set(removed) | set(line))

    def test_newest_of_the_largest(self):
        """The organisation that has the most requests loses its newest one.

        If the arriving request were refused, one organisation could fill the
        queue and keep all others out.
        """
        large = [waiting('large') for _ in range(MOST)]
        self.assertEqual([], self.add(*large))
        small = waiting('small')
        self.assertEqual([large[-1]], self.add(small))
        self.assertIn(small, list(self.line))
        newest = waiting('large')
        self.assertEqual([newest], self.add(newest))

    def test_bytes(self):
        """Bodies over the bound displace requests one by one."""
        half = b'x' * (MOST_BYTES // 2)
        self.assertEqual([], self.add(waiting('a', body=half)))
        self.assertEqual([], self.add(waiting('a', body=half)))
        self.assertEqual(['a'], names(self.add(waiting('b', body=b'x'))))

    def test_bytes_of_the_largest(self):
        """Large bodies displace no organisation with many small requests."""
        small = [waiting('small', body=b'x') for _ in range(MOST - 2)]
        self.assertEqual([], self.add(*small))
        large = waiting('large', body=b'x' * (MOST_BYTES - 1))
        self.assertEqual([large], self.add(large))

    def test_discarded_is_not_counted(self):
        """A request that has left makes room for another one."""
        first = waiting('a', body=b'x' * MOST_BYTES)
        self.add(first)
        self.line.discard(first)
        self.line.discard(first)
        self.assertEqual([], self.add(waiting('b', body=b'x' * MOST_BYTES)))
        self.assertEqual(1, len(self.line))

    def test_services(self):
        """Each service has its own turns."""
        self.add(waiting('a', service='s1'), waiting('a', service='s2'))
        self.assertEqual(('s1', 's2'), self.line.services())
        self.assertEqual('s2', self.line.take('s2').service)
        self.assertEqual(('s1',), self.line.services())

    def test_summary(self):
        """Operators see who waits, how many and for how long."""
        self.add(waiting('b'), waiting('a'), waiting('a'))
        self.assertEqual(
            [
                WaitingSummary('s', 'a', 1, 2, 4),
                WaitingSummary('s', 'b', 1, 1, 4),
            ],
            self.line.summary(4),
        )
