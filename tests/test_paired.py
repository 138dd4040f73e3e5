"""Paired differences between two variants, and their intervals."""

import tempfile
import unittest
from operator import attrgetter
from pathlib import Path

from bench.decisions.paired import difference
from bench.decisions.plays import Play, read_plays, save

WORTH = attrgetter('worth')


def play(variant, seed, worth):
    """Return a play in which every measure but its worth is zero."""
    rest = {'whole': 0, 'worst_windows': 0, 'prices': 0, 'processor_s': 0}
    return Play(
        variant,
        'day',
        seed,
        worth,
        **rest,
        late=0,
        unserved=0,
        broken=False,
        windows=[],
    )


class TestDifference(unittest.TestCase):
    """Only days and seeds that both variants played are compared."""

    def test_paired(self):
        """A gain that both variants have leaves their difference unchanged."""
        plays = [
            *(play('old', seed, 0.1 * seed) for seed in range(5)),
            *(play('new', seed, 0.1 * seed + 0.02) for seed in range(5)),
            play('new', 9, 0),
        ]
        found = difference(plays, 'old', 'new', WORTH)
        self.assertEqual(5, found.pairs)
        self.assertAlmostEqual(0.2, found.before)
        self.assertAlmostEqual(0.02, found.mean)
        self.assertAlmostEqual(0, found.half_width)
        self.assertTrue(found.excludes_zero)

    def test_interval(self):
        """The interval of three pairs is 4.3 standard errors.

        The differences are 1, 2 and 3, so the mean is 2.
        """
        plays = [
            *(play('old', seed, 0) for seed in range(3)),
            *(play('new', seed, seed + 1) for seed in range(3)),
        ]
        found = difference(plays, 'old', 'new', WORTH)
        self.assertAlmostEqual(2, found.mean)
        self.assertAlmostEqual(4.3 / 3**0.5, found.half_width)
        self.assertFalse(found.excludes_zero)

    def test_one_pair_is_none(self):
        """A single pair has no interval and raises ``ValueError``."""
        plays = [play('old', 1, 0), play('new', 1, 1)]
        with self.assertRaises(ValueError):
            difference(plays, 'old', 'new', WORTH)

    def test_kept(self):
        """Saved plays are read back unchanged."""
        plays = [play('old', 1, 0.5), play('new', 1, 0.25)]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'plays.jsonl'
            save(plays, path)
            self.assertEqual(plays, read_plays(path))
