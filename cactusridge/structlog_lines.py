"""Log lines through structlog."""

from collections.abc import Mapping
from typing import Any

import structlog

from cactusridge.events import Event
from cactusridge.line_writer import LineWriter, Stream


class StructlogLines(LineWriter):
    """Writes lines as structlog is configured."""

    def write(self, event: Event, fields: Mapping[str, Any]) -> None:
        """Write a line about ``event``."""
        logger = structlog.get_logger()
        write = getattr(logger, event.level)
        write(event.name, number=event.number, **fields)

    def bind(self, fields: Mapping[str, Any]) -> None:
        """Add ``fields`` to every line from now on."""
        structlog.contextvars.bind_contextvars(**fields)


def configure_console(stream: Stream) -> None:
    """Let structlog write readable lines to ``stream``."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.dev.ConsoleRenderer(colors=False),
        ],
        logger_factory=structlog.PrintLoggerFactory(stream),
    )
