"""What is logged while something is done."""

import contextlib
from collections.abc import Iterator
from unittest import mock

from cactusridge import logs
from cactusridge.events import Event


@contextlib.contextmanager
def emitted() -> Iterator[list[Event]]:
    """Collect the events that are logged in the block."""
    found: list[Event] = []
    with mock.patch.object(
        logs,
        'emit',
        lambda event, **fields: found.append(event),
    ):
        yield found
