"""Faults that can be injected into a stand-in."""

import enum
from typing import NamedTuple

import gevent

STALL_S = 3600


class FaultKind(enum.StrEnum):
    """The way in which a call fails."""

    down = 'down'
    slow = 'slow'
    stall = 'stall'
    lose_answer = 'lose_answer'
    cut = 'cut'
    cross = 'cross'
    short = 'short'
    garble = 'garble'


class Fault(NamedTuple):
    """A fault to apply to matching calls.

    It applies to the next ``count`` calls whose description contains
    ``match``. ``seconds`` is the delay of ``slow``, and in the engine
    stand-in also the length of ``stall``.
    """

    kind: FaultKind
    match: str
    count: int
    seconds: float = 0


class Faults:
    """The active faults of one stand-in."""

    def __init__(self) -> None:
        """Start without active faults."""
        self._active: list[Fault] = []
        self.hits: list[str] = []

    def add(self, fault: Fault) -> None:
        """Apply ``fault`` to the next ``count`` matching calls."""
        self._active.append(fault)

    def clear(self) -> None:
        """Remove all active faults."""
        self._active = []

    def take(self, text: str) -> Fault | None:
        """Return the fault for the call described by ``text``, or None.

        The call uses up one of the fault's ``count`` and is added to ``hits``.
        """
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
    """Sleep for the duration of a slow or stalled call."""
    if fault is None:
        return
    if fault.kind == FaultKind.slow:
        gevent.sleep(fault.seconds)
    if fault.kind == FaultKind.stall:
        gevent.sleep(STALL_S)
