"""Log lines as JSON objects."""

import datetime
import json
from collections.abc import Mapping
from typing import Any

from cactusridge.events import Event
from cactusridge.line_writer import LineWriter, Stream


class JsonLines(LineWriter):
    """Writes the same JSON lines as structlog's JSONRenderer.

    Importing structlog takes a tenth of the start of an entry, most of it for
    its console output and asyncio.
    """

    def __init__(self, stream: Stream) -> None:
        """Write lines to ``stream``."""
        self._stream = stream
        self._bound: dict[str, Any] = {}

    def write(self, event: Event, fields: Mapping[str, Any]) -> None:
        """Write a line about ``event``."""
        line = {
            **self._bound,
            'number': event.number,
            **fields,
            'event': event.name,
            'level': event.level,
            'timestamp': _utc_now(),
        }
        text = json.dumps(line, default=repr)
        print(text, file=self._stream, flush=True)  # noqa: T201, WPS421

    def bind(self, fields: Mapping[str, Any]) -> None:
        """Add ``fields`` to every line from now on."""
        self._bound.update(fields)


def _utc_now() -> str:
    now = datetime.datetime.now(tz=datetime.UTC)
    return now.isoformat().replace('+00:00', 'Z')
