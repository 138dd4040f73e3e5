"""Interface of what writes log lines."""

import abc
from collections.abc import Mapping
from typing import Any, Protocol

from cactusridge.events import Event


class Stream(Protocol):
    """The destination of log lines."""

    def write(self, text: str) -> int:
        """Write ``text`` and return its length."""

    def flush(self) -> None:
        """Write out buffered lines."""


class LineWriter(abc.ABC):
    """Writes each event as a line with its number and fields."""

    @abc.abstractmethod
    def write(self, event: Event, fields: Mapping[str, Any]) -> None:
        """Write a line about ``event``."""

    @abc.abstractmethod
    def bind(self, fields: Mapping[str, Any]) -> None:
        """Add ``fields`` to every line from now on."""
