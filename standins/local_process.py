"""A child process of a demo or test, with its log."""

import os
import signal
import subprocess  # noqa: S404
import sys
from pathlib import Path

STOP_S = 60
TAIL_LINES = 12


class LocalProcess:
    """Starts a Python module and ends it by its own id."""

    def __init__(self, name: str, args: list[str], folder: Path) -> None:
        """Run ``python -m args``; its output goes to a log in ``folder``."""
        self.name = name
        self.log = folder / f'{name}.log'
        with self.log.open('ab') as sink:
            self.process = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', *args],
                stdout=sink,
                stderr=sink,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )

    def tail(self) -> str:
        """Return the last lines of its log, and its status if it ended."""
        lines = self.log.read_text(errors='replace').splitlines()
        status = self.process.poll()
        state = 'runs' if status is None else f'ended with status {status}'
        return '\n'.join((f'{self.name} {state}', *lines[-TAIL_LINES:]))

    def stop(self) -> int:
        """Ask it to stop and return its exit status."""
        self.send(signal.SIGTERM)
        return self.wait()

    def wait(self) -> int:
        """Wait for the end and return the exit status."""
        return self.process.wait(STOP_S)

    def kill(self) -> None:
        """End it at once, as a lost host does."""
        self.process.kill()
        self.process.wait(STOP_S)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process alone."""
        if self.process.poll() is None:
            self.process.send_signal(number)
