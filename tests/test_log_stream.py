"""A log whose reader does not read never blocks the process."""

import os
import unittest

import gevent

from cactusridge.log_stream import BURST_LINES, MAX_WAITING, LogStream

LINE = 'x' * 200


class TestLogStream(unittest.TestCase):
    """Writes to the log are bounded and never block."""

    def setUp(self):
        """Open a log on a pipe."""
        reader, writer = os.pipe()
        self.reader = reader
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.stream = LogStream(writer)

    def test_reader_that_stops(self):
        """Writing does not block though no process reads the pipe."""
        with gevent.Timeout(5):
            for _ in range(3 * MAX_WAITING):
                self.stream.write(f'{LINE}\n')
            gevent.sleep(0)

    def test_volume_is_bounded(self):
        """Lines beyond the burst are dropped, and their number is logged."""
        for _ in range(BURST_LINES * 2):
            self.stream.write('line\n')
        found = b''
        while b'lines_dropped' not in found:
            gevent.sleep(0.01)
            found += os.read(self.reader, 1 << 16)
        kept = found.count(b'line\n')
        self.assertLessEqual(kept, BURST_LINES + 50)
        self.assertGreaterEqual(kept, BURST_LINES)
