"""The logs of a failed test are kept, those of others are not."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from nose2.tools import params

from tests import kept_logs


class LoggingCase(kept_logs.KeptLogsCase):
    """Writes a log and then fails or not."""

    error: type[Exception] | None

    def write(self):
        """Write a log line."""
        (self.log_folder / 'one.log').write_text('line\n')
        if self.error:
            raise self.error


class TestKeptLogs(unittest.TestCase):
    """One test with a log, run by its own runner."""

    @params((None, []), (AssertionError, ['one.log']), (OSError, ['one.log']))
    def test_kept(self, error, wanted):
        """Errors count as failures."""
        case = LoggingCase('write')
        case.error = error
        with tempfile.TemporaryDirectory() as place:
            case.log_folder = Path(place) / 'logs'
            case.log_folder.mkdir()
            kept = Path(place) / 'kept'
            with mock.patch.object(kept_logs, 'KEPT', kept):
                case.run(unittest.TestResult())
            found = [each.name for each in kept.glob('*/*')]
        self.assertEqual(wanted, found)
