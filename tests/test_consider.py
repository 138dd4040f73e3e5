"""Selection of the replicas that are compared for an online request."""

import random
import unittest

from nose2.tools import params

from cactusridge.dispatch.placement import RANDOM_CANDIDATES, select_candidates


class TestConsider(unittest.TestCase):
    """``select_candidates`` returns the replicas to compare."""

    @params(
        # Local, offered and other replicas; how many are compared.
        (20, 0, 30, 20),
        (20, 5, 30, 25),
        (0, 5, 30, 5),
        (0, 0, 30, RANDOM_CANDIDATES),
        (0, 0, 2, 2),
    )
    def test_compared(self, near, offered, others, wanted):
        """Local and offered replicas are compared, or else a random few."""
        own = {f'near-{number}' for number in range(near)}
        from_others = {f'offered-{number}' for number in range(offered)}
        incarnations = {f'far-{number}' for number in range(others)}
        incarnations |= own | from_others
        found = select_candidates(
            incarnations, own, from_others, random.Random(1)
        )
        self.assertEqual(wanted, len(found))
        self.assertLessEqual(own | from_others, found)

    def test_only_what_may_be_chosen(self):
        """A local replica that is not allowed is not compared."""
        found = select_candidates({'far'}, {'near'}, {'gone'}, random.Random(1))
        self.assertEqual({'far'}, found)
