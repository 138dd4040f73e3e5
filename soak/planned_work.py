"""Planned work, and the requests that count as sent beside it."""

import itertools
import math
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

# Seconds within which an entry has to exit after a planned stop.
GRACE_S = 8
# Seconds after its acknowledgement within which a configuration applies.
APPLY_S = 2
# Seconds after the grace, and after APPLY_S, that still count as planned work.
MARGIN_S = 1
STOP = 'SIGTERM'
RELOAD = 'SIGHUP'
CONFIGURATION = 'configuration'


class PlannedWork(NamedTuple):
    """A signal to an entry, or a configuration; times are in seconds.

    ``entry`` is empty for a configuration, which concerns all of them.
    ``done_at`` is when the store acknowledged it, and ``timeout_s`` is the
    time-out of its routes.
    """

    what: str
    entry: str
    at: float
    done_at: float
    timeout_s: float = math.inf

    def is_around(self, entry: str, sent_at: float, ended_at: float) -> bool:
        """Return whether a request at ``entry`` ended beside this work."""
        concerned = self.entry in {'', entry}
        begun = concerned and ended_at >= self.at
        return begun and _WINDOWS[self.what](self, sent_at, ended_at)


class PlannedWorks:
    """All planned work of a soak, in the order in which it began."""

    def __init__(self) -> None:
        """Create an empty list."""
        self._works: list[PlannedWork] = []

    def add(self, work: PlannedWork) -> None:
        """Note the next work."""
        self._works.append(work)

    def around(
        self, entry: str, sent_at: float, ended_at: float
    ) -> list[PlannedWork]:
        """Return the work beside which a request at ``entry`` ended."""
        return [
            work
            for work in self._works
            if work.is_around(entry, sent_at, ended_at)
        ]

    def timeout_s(self, since: float, until: float) -> float:
        """Return the shortest time-out that may be in force in an interval.

        A configuration may be in force until the next one has to apply.
        """
        written = [work for work in self._works if work.what == CONFIGURATION]
        successors = itertools.zip_longest(written, written[1:])
        found = [
            work.timeout_s
            for work, following in successors
            if work.at <= until
            and (
                following is None
                or since <= following.done_at + APPLY_S + MARGIN_S
            )
        ]
        return min(found, default=math.inf)


def _in_stop(work: PlannedWork, _: float, ended_at: float) -> bool:
    return ended_at <= work.at + GRACE_S + MARGIN_S


def _in_reload(work: PlannedWork, sent_at: float, _: float) -> bool:
    return sent_at <= work.at + APPLY_S


def _in_configuration(work: PlannedWork, _: float, ended_at: float) -> bool:
    return ended_at <= work.done_at + APPLY_S + MARGIN_S


_WINDOWS: Mapping[str, Callable[[PlannedWork, float, float], bool]] = (
    MappingProxyType(
        {
            STOP: _in_stop,
            RELOAD: _in_reload,
            CONFIGURATION: _in_configuration,
        }
    )
)
