"""The command line as a shell sees it."""

import os
import subprocess  # noqa: S404
import sys
import unittest
from pathlib import Path

from nose2.tools import params


class TestCompletion(unittest.TestCase):
    """What is offered when the tab key is pressed."""

    @params(
        ('cactusridge se', {'settings', 'services'}),
        ('cactusridge settings hi', {'history'}),
        ('cactusridge jobs ', {'list', 'show', 'submit', 'cancel'}),
        ('cactusridge report burn --wi', {'--window'}),
    )
    def test_words(self, line, wanted):
        """Commands and options that fit are offered."""
        words = line.split(' ')
        asked = {
            '_CACTUSRIDGE_COMPLETE': 'complete_bash',
            'COMP_WORDS': line,
            'COMP_CWORD': str(len(words) - 1),
        }
        ended = subprocess.run(  # noqa: S603
            [Path(sys.executable).with_name('cactusridge')],
            env={**os.environ, **asked},
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertLessEqual(wanted, set(ended.stdout.split()))
