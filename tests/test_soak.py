"""Short runs of the soak test.

One seed draws planned maintenance only, the other draws every kind of fault.
"""

import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from soak.run import Size, run

SECONDS = 6
# Seed 8 draws planned maintenance only, which may not interrupt any request;
# seed 9 draws overlapping faults of all kinds.
SEEDS = (8, 9)


class TestSoak(unittest.TestCase):
    """Entry processes run while faults are injected from outside."""

    @params(*SEEDS)
    def test_seed(self, seed):
        """No guarantee is violated during the faults or after them."""
        with tempfile.TemporaryDirectory() as folder:
            record = run(seed, Size(SECONDS), Path(folder))
        self.assertEqual([], record.violations)
        # A run without served requests or finished items would prove nothing.
        self.assertTrue(any(call.status == 200 for call in record.calls))
        self.assertTrue(any(job.listed_results for job in record.jobs.values()))
