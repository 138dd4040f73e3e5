"""Detects that the caller of a request has disconnected."""

import abc
from collections.abc import Callable


class CallerWatch(abc.ABC):
    """Tracks whether a caller has disconnected.

    ``disconnected`` is True from the time of the disconnect.
    """

    def __init__(self) -> None:
        """Start with a connected caller."""
        self.disconnected = False
        self._on_disconnect: Callable[[], None] | None = None

    def on_disconnect(self, action: Callable[[], None] | None) -> None:
        """Set the function to call when the caller disconnects.

        It replaces the function set before; None removes that one. If
        the caller has already disconnected, ``action`` is called at once.
        """
        self._on_disconnect = action
        if self.disconnected and action is not None:
            action()

    def record_disconnect(self) -> None:
        """Record that the caller has disconnected and call the action."""
        self.disconnected = True
        if self._on_disconnect is not None:
            self._on_disconnect()

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop watching the caller."""


class AlwaysConnectedCaller(CallerWatch):
    """Watches a caller that never disconnects, such as a batch job."""

    def stop(self) -> None:
        """Do nothing."""
