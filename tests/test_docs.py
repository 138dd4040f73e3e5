"""The pages say what the code does."""

import re
import unittest
from pathlib import Path

from cactusridge import events
from cactusridge.exits import ExitStatus

DOCS = Path(__file__).parent.parent / 'docs'
EVENT_ROW = re.compile(r'^\| (\d+) \| (\w+) \| (\w+) \|', re.MULTILINE)
STATUS_ROW = re.compile(r'^\| (\d+) \| ', re.MULTILINE)


class TestDocs(unittest.TestCase):
    """Catalogues and lists."""

    def test_events(self):
        """Page and code have the same events."""
        found = EVENT_ROW.findall((DOCS / 'EVENTS.md').read_text())
        wanted = [
            (str(event.number), event.name, event.level)
            for event in events.catalogue()
        ]
        self.assertEqual(wanted, found)

    def test_every_event_is_emitted(self):
        """No event of the catalogue is left without a use."""
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
        """Page and code have the same metrics."""
        page = (DOCS / 'METRICS.md').read_text()
        found = set(re.findall(r'^\| (cr_\w+) ', page, re.MULTILINE))
        code = (DOCS.parent / 'cactusridge' / 'metrics.py').read_text()
        wanted = set(re.findall("'(cr_[a-z_]+)'", code))
        self.assertEqual(wanted, found)

    def test_exit_statuses(self):
        """Page and code have the same statuses."""
        page = (DOCS / 'OPERATING.md').read_text()
        found = {int(number) for number in STATUS_ROW.findall(page)}
        self.assertEqual({status.value for status in ExitStatus}, found)
