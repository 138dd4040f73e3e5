"""Which failures the list of known ones covers."""

import runpy
import sys
import unittest
from pathlib import Path
from unittest import mock

from nose2.tools import params

CI = str(Path(__file__).parent.parent / '.ci')


TEST = 'tests.a.A.test_b'
RAN = {TEST, f'{TEST}:1', f'{TEST}:2'}


def call(function, *args):
    """Run a function of the script, which lies in no package."""
    with mock.patch('sys.path', [CI, *sys.path]):
        return runpy.run_path(f'{CI}/verdict.py')[function](*args)


class TestKnownRed(unittest.TestCase):
    """Cases that an entry names; all others count as failures."""

    @params(
        ('tests.a.A.test_b', {'tests.a.A.test_b'}),
        ('tests.a.A.test_b:2', {'tests.a.A.test_b:2'}),
        ('tests.a.A.test_b:2-3', {'tests.a.A.test_b:2', 'tests.a.A.test_b:3'}),
        ('tests.a.A.test_b:x-3', {'tests.a.A.test_b:x-3'}),
    )
    def test_cases(self, entry, wanted):
        """A range stands for its own cases alone."""
        self.assertEqual(wanted, call('cases', entry))

    @params(
        (f'{TEST}: red; issue 4', True),
        (f'{TEST}:1-2: red; issue 4', True),
        (f'{TEST}: red', False),
        (f'{TEST}:1-3: red; issue 4', False),
        ('tests.a.A.test_c: red; issue 4', False),
        ('no-test: seen (command: python -m soak --seeds 3); issue 4', True),
        ('no-test: seen (command: python -m soak --seeds 3)', False),
        ('no-test: seen; issue 4', False),
    )
    def test_complete(self, entry, wanted):
        """An entry names tests that exist or a command, and an issue."""
        self.assertEqual(wanted, call('is_complete', entry, RAN))
