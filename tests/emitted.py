"""Collects the log events that a block of code emits."""

import contextlib
from collections.abc import Iterator
from unittest import mock

from cactusridge import logs
from cactusridge.events import Event


@contextlib.contextmanager
def emitted() -> Iterator[list[Event]]:
    """Yield a list to which each event emitted in the block is appended.

    The events are not written to the log.
    """
    found: list[Event] = []
    with mock.patch.object(
        logs,
        'emit',
        lambda event, **fields: found.append(event),
    ):
        yield found
