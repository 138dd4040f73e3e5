"""Bursts at replicas of different speeds, with both policies of capacity."""

import unittest

from nose2.tools import params

from bench.uneven_replicas import differences
from tests.uneven_play import (
    EQUAL,
    PLAIN,
    SPEEDS,
    STREAMS,
    UnevenPlay,
)

SEEDS = range(1, 6)
# The kinds of requests and the cycles of the load that are simulated.
KINDS = {'streams': (STREAMS, 5), 'plain': (PLAIN, 3)}


def played(name, speeds, seed, variant):
    """Return a simulation of one kind of requests."""
    work, cycles = KINDS[name]
    return UnevenPlay(work, speeds, seed, variant, cycles)


class TestUnevenPlay(unittest.TestCase):
    """Callers of uneven replicas are served better by the estimates."""

    @params(
        ('streams', ('late', 'p99'), ('p95', 'refused')),
        ('plain', ('again',), ('refused',)),
    )
    def test_uneven(self, name, fewer, no_more):
        """More callers get a slot in time than with one mean per service.

        The mean expects the same wait at a slow and at a fast replica. Streams
        then wait too long behind a slow one, and plain requests are refused
        because their waits count as work. ``fewer`` has the measures that must
        decrease clearly, ``no_more`` those that must not increase clearly.
        """
        plays = [
            played(name, SPEEDS, seed, variant).run()
            for seed in SEEDS
            for variant in ('mean', 'shared')
        ]
        found = differences(plays, 'shared')
        on_time = found['on_time']
        self.assertGreater(on_time.mean, on_time.half_width)
        for measure in fewer:
            each = found[measure]
            self.assertLess(each.mean, -each.half_width, measure)
        for measure in no_more:
            each = found[measure]
            self.assertLessEqual(each.mean, each.half_width, measure)

    @params('streams', 'plain')
    def test_equal(self, name):
        """Equal replicas are chosen exactly as without estimates."""
        plays = []
        for variant in ('mean', 'shared'):
            each = played(name, EQUAL, 1, variant)
            each.admit_all()
            plays.append(each.run())
        mean, shared = plays
        self.assertEqual(0, shared.unusual)
        self.assertEqual(mean._replace(variant='shared'), shared)
