"""Logs through structlog: every line is an event of the catalogue."""

import sys
from typing import Any, Protocol

import structlog

from cactusridge.events import Event


class Stream(Protocol):
    """Where lines go."""

    def write(self, text: str) -> int:
        """Take a line."""

    def flush(self) -> None:
        """Let lines go out."""


def configure(style: str, stream: Stream = sys.stderr) -> None:
    """Write logs to ``stream`` as ``json`` or for a ``console``."""
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
    """Put ``fields`` on every line of this process."""
    structlog.contextvars.bind_contextvars(**fields)


def emit(event: Event, **fields: Any) -> None:
    """Write one event with its number and ``fields``."""
    logger = structlog.get_logger()
    write = getattr(logger, event.level)
    write(event.name, number=event.number, **fields)
