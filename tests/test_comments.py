"""Sources describe the present state and no history of a value."""

import re
import unittest
from pathlib import Path

from nose2.tools import params

PACKAGE = Path(__file__).parent.parent / 'cactusridge'
# Phrases that occur only in accounts of a measurement, a trial or a change.
FORBIDDEN_PATTERNS = (
    r'\+-',
    r'\bpairs of (days|plays)\b',
    r'\btimed in\b',
    r'\bby trials? (of|on)\b',
    r'\bon a busy (machine|day)\b',
    r'\bin its first runs\b',
    r'\bmeasured so far\b',
    r'\bof processor time on\b',
    r'\b(issue|incident) #?\d',
    r'\b20\d\d-\d\d-\d\d\b',
    r'\bused to (be|take)\b',
    r'\bfleetbench\b|\bthe bench\b',
)


class TestComments(unittest.TestCase):
    """Checks the sources of the package for forbidden phrases."""

    @params(*FORBIDDEN_PATTERNS)
    def test_telltales(self, pattern):
        """No source of the package contains the phrase."""
        found = [
            f'{path.name}: {line.strip()}'
            for path in PACKAGE.rglob('*.py')
            for line in path.read_text().splitlines()
            if re.search(pattern, line)
        ]
        self.assertEqual([], found)
