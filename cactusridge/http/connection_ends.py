"""Ends the connections of a server at the end of a planned stop."""

import abc
import enum
from collections import Counter
from typing import NamedTuple

import gevent

from cactusridge.clock import Clock

# Seconds for requests that have arrived to be read and refused, and seconds
# for requests that are cut to be answered with a failure.
REFUSAL_S = 0.15
FAILURE_S = 0.15
# The longest time in which all connections end, in seconds.
END_S = REFUSAL_S + FAILURE_S
# Seconds between two checks of the connections that are left.
POLL_S = 0.01


class Stage(enum.Enum):
    """What a connection is being used for."""

    # No byte of a request has been read.
    idle = 'idle'
    # A request is being read, or refused because it is too late.
    reading = 'reading'
    # No byte of the answer has been sent.
    waiting = 'waiting'
    answering = 'answering'


class CutRequests(NamedTuple):
    """The numbers of requests that were cut at the end of a stop.

    ``unread`` requests were refused before they had arrived in full,
    ``unanswered`` ones got a failure, and answers to ``partial`` ones ended
    before they were complete.
    """

    unread: int
    unanswered: int
    partial: int


class Connection(abc.ABC):
    """A connection to a caller."""

    @property
    @abc.abstractmethod
    def stage(self) -> Stage:
        """What the connection is being used for."""

    @abc.abstractmethod
    def close_if_idle(self) -> None:
        """Close the connection if no byte of a request has arrived."""

    @abc.abstractmethod
    def cut(self) -> None:
        """Fail the request in progress, if possible with a reply."""

    @abc.abstractmethod
    def shut_down(self) -> None:
        """Break the connection."""


class ConnectionEnds:
    """The open connections of a server, and how they end."""

    def __init__(self, clock: Clock) -> None:
        """Start without connections; limit waits by ``clock``."""
        self.open: set[Connection] = set()
        self._clock = clock

    def end(self) -> CutRequests:
        """End all connections within ``END_S`` seconds.

        Idle connections are closed at once. Requests whose bytes have arrived
        are read and refused. The others are cut: those without a byte of an
        answer get a failure.
        """
        self._finish(REFUSAL_S)
        stages = Counter(connection.stage for connection in self.open)
        for connection in tuple(self.open):
            connection.cut()
        self._finish(FAILURE_S)
        for left in tuple(self.open):
            left.shut_down()
        return CutRequests(
            stages[Stage.reading],
            stages[Stage.waiting],
            stages[Stage.answering],
        )

    def _finish(self, limit_s: float) -> None:
        """Wait up to ``limit_s`` seconds; close what is or becomes idle."""
        end_at = self._clock.monotonic() + limit_s
        self._close_idle()
        while self.open and self._clock.monotonic() < end_at:
            gevent.sleep(POLL_S)
            self._close_idle()

    def _close_idle(self) -> None:
        for connection in tuple(self.open):
            connection.close_if_idle()
