"""Comments give reasons and no history of how a value was found."""

import re
import unittest
from pathlib import Path

from nose2.tools import params

PACKAGE = Path(__file__).parent.parent / 'cactusridge'
# What only an account of a measurement, a trial or a change would say.
TELLTALES = (
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
    """The sources of the package."""

    @params(*TELLTALES)
    def test_telltales(self, telltale):
        """No source says it."""
        found = [
            f'{path.name}: {line.strip()}'
            for path in PACKAGE.rglob('*.py')
            for line in path.read_text().splitlines()
            if re.search(telltale, line)
        ]
        self.assertEqual([], found)
