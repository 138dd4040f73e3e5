"""The reference pages agree with the code."""

import re
import unittest
from pathlib import Path

from cactusridge import events
from cactusridge.exits import ExitStatus

DOCS = Path(__file__).parent.parent / 'docs'
EVENT_ROW = re.compile(r'^\| (\d+) \| (\w+) \| (\w+) \|', re.MULTILINE)
STATUS_ROW = re.compile(r'^\| (\d+) \| ', re.MULTILINE)


class TestDocs(unittest.TestCase):
    """Compares events, metrics and exit statuses in pages and code."""

    def test_events(self):
        """The page of events lists the events of the code, in order."""
        found = EVENT_ROW.findall((DOCS / 'EVENTS.md').read_text())
        wanted = [
            (str(event.number), event.name, event.level)
            for event in events.catalogue()
        ]
        self.assertEqual(wanted, found)

    def test_every_event_is_emitted(self):
        """The package uses every event of the catalogue."""
        package = DOCS.parent / 'cactusridge'
        code = ''.join(
            path.read_text()
            for path in package.rglob('*.py')
            if path.name != 'events.py'
        )
        unused = [
            event.name
            for event in events.catalogue()
            if f'events.{event.name.upper()}' not in code
        ]
        self.assertEqual([], unused)

    def test_metrics(self):
        """The page of metrics lists the metrics of the code."""
        page = (DOCS / 'METRICS.md').read_text()
        found = set(re.findall(r'^\| (cr_\w+) ', page, re.MULTILINE))
        code = (DOCS.parent / 'cactusridge' / 'metrics.py').read_text()
        wanted = set(re.findall("'(cr_[a-z_]+)'", code))
        self.assertEqual(wanted, found)

    def test_exit_statuses(self):
        """The operators' page lists the exit statuses of the code."""
        page = (DOCS / 'OPERATING.md').read_text()
        found = {int(number) for number in STATUS_ROW.findall(page)}
        self.assertEqual({status.value for status in ExitStatus}, found)
