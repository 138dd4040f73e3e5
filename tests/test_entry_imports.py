"""Tests which modules a direct entry imports before it serves.

Their import delays the recovery of an entry on a slow host.
"""

import subprocess
import sys
import unittest
from pathlib import Path
from unittest import mock

from nose2.tools import params

from cactusridge.startup.loader import load_file
from tests.call_counts import calls_of

ROOT = Path(__file__).parent.parent
# Packages that are not installed on the hosts of entries, and the command line.
UNNEEDED = ('pydantic', 'typer', 'cactusridge.cli')
PROBE = """
import sys
import cactusridge.platform.__main__
print(*sys.modules)
"""
# Calls that reading a settings file may take, those of its checks among them.
CALLS_PER_CHARACTER = 6


class TestEntryImports(unittest.TestCase):
    """The modules of a process that has imported all of an entry."""

    @classmethod
    def setUpClass(cls):
        """Import an entry in a process of its own."""
        command = (sys.executable, '-c', PROBE)
        ran = subprocess.run(  # noqa: S603
            command, cwd=ROOT, capture_output=True, text=True, check=True
        )
        cls.modules = set(ran.stdout.split())

    @params(*UNNEEDED)
    def test_absent(self, name):
        """An entry starts without modules that it does not use."""
        self.assertIn('cactusridge.platform.role', self.modules)
        self.assertFalse(name in self.modules, f'{name} was imported')


class TestSettingsFile(unittest.TestCase):
    """The start settings are read by the YAML parser in C."""

    def test_loader(self):
        """A file is not read by the pure Python parser, which is slower."""
        text = (ROOT / 'demo' / 'entry.yaml').read_text()
        with mock.patch.object(Path, 'read_text', return_value=text):
            calls = calls_of(lambda: load_file('entry.yaml'))
        self.assertLessEqual(calls, CALLS_PER_CHARACTER * len(text))
