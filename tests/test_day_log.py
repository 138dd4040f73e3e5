"""Reading of the log lines in the output of a played day."""

import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from bench.decisions.day import read_log

ONE = '{"event": "a", "request": "r1"}'
TWO = '{"event": "b", "nested": {"text": "} {"}}'


class TestDayLog(unittest.TestCase):
    """Every complete log line is read, whatever it arrived with.

    A reader that expects one JSON object in each line of the output fails at
    the first line that holds two.
    """

    def read(self, text):
        """Return the log lines in the output ``text`` of a day."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        output = Path(folder.name) / 'output'
        output.write_text(text)
        return read_log(output)

    @params(
        (ONE, ['a']),
        (ONE + TWO, ['a', 'b']),
        (f'{ONE} {TWO} ', ['a', 'b']),
        (ONE + TWO[:-1], ['a']),
        (ONE + TWO + ONE[:9], ['a', 'b']),
        (ONE[:12], []),
        (f'{ONE}no JSON', ['a']),
        ('{"request": "r1"}', ['']),
    )
    def test_objects(self, written, expected):
        """All complete objects of a line are read and a cut one is not."""
        found = self.read(f'  -1.25 front-1 {written}\n')
        self.assertEqual(expected, [each.event for each in found])
        for each in found:
            self.assertEqual((-1.25, 'front-1'), (each.at_s, each.process))

    def test_other_lines(self):
        """Lines without a log line of a process are left out."""
        found = self.read(f'started\n  2.5 front-2 {ONE}\n  3.0 front-2 gone\n')
        self.assertEqual([2.5], [each.at_s for each in found])
        self.assertEqual('r1', found[0].fields['request'])
