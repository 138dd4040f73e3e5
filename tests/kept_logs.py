"""Keeps the logs of real processes when a test of them fails."""

import os
import shutil
import sys
import time
import unittest
from pathlib import Path

KEPT = Path(__file__).parent.parent / '.run' / 'failed'


class KeptLogsCase(unittest.TestCase):
    """Copies ``log_folder`` to KEPT if a test fails."""

    log_folder: Path | None = None

    def doCleanups(self) -> None:
        """Keep the logs before the cleanups remove them."""
        if self.log_folder is not None and self._has_failed():
            name = f'{self.id()}-{int(time.time())}-{os.getpid()}'
            shutil.copytree(self.log_folder, KEPT / name, dirs_exist_ok=True)
            sys.stderr.write(f'logs of {self.id()}: {KEPT / name}\n')
        super().doCleanups()

    def _has_failed(self) -> bool:
        outcome = self._outcome
        return outcome is not None and not outcome.success
