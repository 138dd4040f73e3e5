"""Writes what was sent, answered and run to a text file."""

import time
from pathlib import Path


class Record:
    """Lines with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        """Begin the file anew."""
        self._file = path.open('w')
        self._begun_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line."""
        elapsed_s = time.monotonic() - self._begun_at
        self._file.write(f'{elapsed_s:8.3f} {text}\n')
        self._file.flush()

    def at(self, moment: float) -> str:
        """Return a monotonic time as it stands in the record."""
        return f'{moment - self._begun_at:.3f}'

    def close(self) -> None:
        """Close the file."""
        self._file.close()
