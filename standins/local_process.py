"""A child process of the demo or of a test, with its log file."""

import os
import signal
import subprocess  # noqa: S404
import sys
from pathlib import Path

STOP_S = 60
TAIL_LINES = 12


class LocalProcess:
    """Runs a Python module as a child process and controls that process."""

    def __init__(self, name: str, args: list[str], folder: Path) -> None:
        """Run ``python -m args`` with its output in a log in ``folder``."""
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
        """Return the process state and the last lines of the log."""
        lines = self.log.read_text(errors='replace').splitlines()
        status = self.process.poll()
        state = 'runs' if status is None else f'ended with status {status}'
        return '\n'.join((f'{self.name} {state}', *lines[-TAIL_LINES:]))

    def stop(self) -> int:
        """Send SIGTERM, wait for the process and return its exit status."""
        self.send(signal.SIGTERM)
        return self.wait()

    def wait(self) -> int:
        """Wait until the process exits and return its exit status.

        Raises subprocess.TimeoutExpired after ``STOP_S`` seconds.
        """
        return self.process.wait(STOP_S)

    def kill(self) -> None:
        """Kill the process at once, as the loss of its host would."""
        self.process.kill()
        self.process.wait(STOP_S)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process, unless it has exited."""
        if self.process.poll() is None:
            self.process.send_signal(number)
