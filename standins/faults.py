"""Faults that a stand-in can be told to show."""

import enum
from typing import NamedTuple

import gevent

STALL_S = 3600


class FaultKind(enum.StrEnum):
    """What goes wrong with a call."""

    down = 'down'
    slow = 'slow'
    stall = 'stall'
    lose_answer = 'lose_answer'
    cut = 'cut'
    cross = 'cross'
    short = 'short'
    garble = 'garble'


class Fault(NamedTuple):
    """One fault: which calls, how often, how long for ``slow``."""

    kind: FaultKind
    match: str
    count: int
    seconds: float = 0


class Faults:
    """The faults now in force at one stand-in."""

    def __init__(self) -> None:
        """Start with none."""
        self._active: list[Fault] = []
        self.hits: list[str] = []

    def add(self, fault: Fault) -> None:
        """Show ``fault`` on the next ``count`` calls that match."""
        self._active.append(fault)

    def clear(self) -> None:
        """Show no fault any more."""
        self._active = []

    def take(self, text: str) -> Fault | None:
        """Return the fault for the call described by ``text``, if any."""
        for index, fault in enumerate(self._active):
            if fault.match not in text:
                continue
            self._active.pop(index)
            if fault.count > 1:
                left = fault._replace(count=fault.count - 1)
                self._active.insert(index, left)
            self.hits.append(f'{fault.kind} {text}')
            return fault
        return None


def wait_out(fault: Fault | None) -> None:
    """Sleep as long as a slow or stalled call takes."""
    if fault is None:
        return
    if fault.kind == FaultKind.slow:
        gevent.sleep(fault.seconds)
    if fault.kind == FaultKind.stall:
        gevent.sleep(STALL_S)
