"""Polling for a condition with a time limit."""

import time
from typing import Any

WAIT_S = 60
POLL_S = 0.05


class NotReady(Exception):
    """A process did not start, or a condition was not met in time."""


def wait_for(what: str, condition: Any, bound_s: float = WAIT_S) -> Any:
    """Poll ``condition`` until its result is true, and return the result.

    Raises NotReady with ``what`` after ``bound_s`` seconds.
    """
    deadline = time.monotonic() + bound_s
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(POLL_S)
    raise NotReady(what)
