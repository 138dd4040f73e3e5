"""A log stream does not block when its reader stops reading."""

import os
import unittest

import gevent

from cactusridge.log_stream import BURST_LINES, MAX_QUEUED_LINES, LogStream

LINE = 'x' * 200


class TestLogStream(unittest.TestCase):
    """The stream is rate-limited and never blocks its writers."""

    def setUp(self):
        """Create a log stream that writes to a pipe."""
        reader, writer = os.pipe()
        self.reader = reader
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.stream = LogStream(writer)

    def test_reader_that_stops(self):
        """Writes return at once although the pipe is not read."""
        with gevent.Timeout(5):
            for _ in range(3 * MAX_QUEUED_LINES):
                self.stream.write(f'{LINE}\n')
            gevent.sleep(0)

    def test_volume_is_bounded(self):
        """Lines above the burst are dropped, and their number is written."""
        for _ in range(BURST_LINES * 2):
            self.stream.write('line\n')
        found = b''
        while b'lines_dropped' not in found:
            gevent.sleep(0.01)
            found += os.read(self.reader, 1 << 16)
        kept = found.count(b'line\n')
        self.assertLessEqual(kept, BURST_LINES + 50)
        self.assertGreaterEqual(kept, BURST_LINES)
