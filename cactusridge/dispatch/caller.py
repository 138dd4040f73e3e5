"""Whether the caller of a request still waits."""

import abc
from collections.abc import Callable


class CallerWatch(abc.ABC):
    """Tells when a caller has left."""

    def __init__(self) -> None:
        """Start with a caller that waits."""
        self.gone = False
        self._on_gone: Callable[[], None] | None = None

    def call_when_gone(self, action: Callable[[], None] | None) -> None:
        """Do ``action`` once when the caller leaves; None: nothing."""
        self._on_gone = action
        if self.gone and action is not None:
            action()

    def note_gone(self) -> None:
        """Note that the caller has left."""
        self.gone = True
        if self._on_gone is not None:
            self._on_gone()

    @abc.abstractmethod
    def stop(self) -> None:
        """Watch no longer."""


class PatientCaller(CallerWatch):
    """A caller that never leaves, such as a batch job."""

    def stop(self) -> None:
        """There is nothing to stop."""
