"""Logging through structlog; every line is an event of the catalogue."""

import sys
from typing import Any, Protocol

import structlog

from cactusridge.events import Event


class Stream(Protocol):
    """The destination of log lines."""

    def write(self, text: str) -> int:
        """Write ``text`` and return its length."""

    def flush(self) -> None:
        """Write out buffered lines."""


def configure(style: str, stream: Stream = sys.stderr) -> None:
    """Write logs to ``stream`` in the style ``json`` or ``console``."""
    renderer: Any = structlog.processors.JSONRenderer()
    if style == 'console':
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            renderer,
        ],
        logger_factory=structlog.PrintLoggerFactory(stream),
    )


def bind(**fields: Any) -> None:
    """Add ``fields`` to every log line of this process."""
    structlog.contextvars.bind_contextvars(**fields)


def emit(event: Event, **fields: Any) -> None:
    """Log ``event`` with its number and ``fields``."""
    logger = structlog.get_logger()
    write = getattr(logger, event.level)
    write(event.name, number=event.number, **fields)
