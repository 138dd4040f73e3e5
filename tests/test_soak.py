"""A short run of the soak: one seed of planned work, one of every fault."""

import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from soak.run import Size, run

SECONDS = 6
# Planned work alone, which may cut nothing; and faults that overlap.
SEEDS = (8, 9)


class TestSoak(unittest.TestCase):
    """Entries as processes under faults from outside."""

    @params(*SEEDS)
    def test_seed(self, seed):
        """Every promise holds, during the faults and after them."""
        with tempfile.TemporaryDirectory() as folder:
            record = run(seed, Size(SECONDS), Path(folder))
        self.assertEqual([], record.violations)
        # It was worth its time: requests were served and jobs done.
        self.assertTrue(any(call.status == 200 for call in record.calls))
        self.assertTrue(any(job.listed_results for job in record.jobs.values()))
