"""Waiting for things to happen, with a generous bound."""

import time
from typing import Any

WAIT_S = 60
POLL_S = 0.05


class NotReady(Exception):
    """Something did not come up or did not happen in time."""


def wait_for(what: str, happened: Any, bound_s: float = WAIT_S) -> Any:
    """Return what ``happened`` returns once it is true."""
    deadline = time.monotonic() + bound_s
    while time.monotonic() < deadline:
        found = happened()
        if found:
            return found
        time.sleep(POLL_S)
    raise NotReady(what)
