"""The log; every line is an event of the catalogue."""

import sys
from typing import Any

from cactusridge.events import Event
from cactusridge.json_lines import JsonLines
from cactusridge.line_writer import LineWriter, Stream


class Log:
    """The log of this process, through structlog until it is configured."""

    def __init__(self) -> None:
        """Start without a writer."""
        self._writer: LineWriter | None = None

    def configure(self, style: str, stream: Stream) -> None:
        """Write lines to ``stream`` in the style ``json`` or ``console``."""
        if style == 'json':
            self._writer = JsonLines(stream)
            return
        # Imported only where it is needed: see JsonLines.
        from cactusridge import structlog_lines  # noqa: PLC0415, WPS433

        structlog_lines.configure_console(stream)
        self._writer = structlog_lines.StructlogLines()

    @property
    def writer(self) -> LineWriter:
        """What writes the lines."""
        if self._writer is None:
            from cactusridge import structlog_lines  # noqa: PLC0415, WPS433

            self._writer = structlog_lines.StructlogLines()
        return self._writer


_LOG = Log()


def configure(style: str, stream: Stream = sys.stderr) -> None:
    """Write logs to ``stream`` in the style ``json`` or ``console``."""
    _LOG.configure(style, stream)


def bind(**fields: Any) -> None:
    """Add ``fields`` to every log line of this process."""
    _LOG.writer.bind(fields)


def emit(event: Event, **fields: Any) -> None:
    """Log ``event`` with its number and ``fields``."""
    _LOG.writer.write(event, fields)
