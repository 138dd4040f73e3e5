"""Shell completion of the command line."""

import os
import subprocess  # noqa: S404
import sys
import unittest
from pathlib import Path

from nose2.tools import params


class TestCompletion(unittest.TestCase):
    """The completions that bash offers for a partial command line."""

    @params(
        ('cactusridge se', {'settings', 'services'}),
        ('cactusridge settings hi', {'history'}),
        ('cactusridge jobs ', {'list', 'show', 'submit', 'cancel'}),
        ('cactusridge report burn --wi', {'--window'}),
    )
    def test_words(self, line, wanted):
        """The matching commands and options are among the completions."""
        words = line.split(' ')
        completion_env = {
            '_CACTUSRIDGE_COMPLETE': 'complete_bash',
            'COMP_WORDS': line,
            'COMP_CWORD': str(len(words) - 1),
        }
        completed = subprocess.run(  # noqa: S603
            [Path(sys.executable).with_name('cactusridge')],
            env={**os.environ, **completion_env},
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertLessEqual(wanted, set(completed.stdout.split()))
