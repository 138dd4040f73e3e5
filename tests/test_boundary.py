"""The platform's names stay in its adapter; layers point downwards."""

import re
import unittest
from pathlib import Path

from nose2.tools import params

PACKAGE = Path(__file__).parent.parent / 'cactusridge'
ADAPTER = PACKAGE / 'platform'
WIRE_NAMES = re.compile(
    'rows-tx|rows-get|rows-feed|X-Expect-Instance|X-Attempt-Id'
    '|X-Response-Signature|X-Not-Executed|X-Request-Deadline'
    '|/api/lots|/api/items|dead_letter|max_wait_s|expected_rev'
    '|traffic_split|target_latency_ms',
)


def sources() -> list[Path]:
    """Return the modules outside the adapter."""
    found = PACKAGE.rglob('*.py')
    return [path for path in found if ADAPTER not in path.parents]


class TestBoundary(unittest.TestCase):
    """What may know of what."""

    def test_wire_names(self):
        """No module outside the adapter knows a name of the platform."""
        wrong = [
            str(path.relative_to(PACKAGE))
            for path in sources()
            if WIRE_NAMES.search(path.read_text())
        ]
        self.assertEqual([], wrong)

    @params(
        ('dispatch', 'jobs|batch|entry|platform|sidecar'),
        ('jobs', 'batch|entry|platform|sidecar'),
        ('store', 'jobs|batch|entry|platform|sidecar|dispatch|routing'),
    )
    def test_layers(self, layer, above):
        """No layer imports one above it."""
        upward = re.compile(rf'from cactusridge\.({above})\b')
        wrong = [
            path.name
            for path in (PACKAGE / layer).glob('*.py')
            if upward.search(path.read_text())
        ]
        self.assertEqual([], wrong)
