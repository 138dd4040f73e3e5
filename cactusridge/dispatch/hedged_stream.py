"""Reads a stream whose run may be replaced while its replica is silent."""

from cactusridge.clock import Clock
from cactusridge.dispatch.awaited import AwaitedEvents
from cactusridge.dispatch.event_splitter import EventSplitter
from cactusridge.dispatch.hedged_wait import Found
from cactusridge.dispatch.hedging import Hedging
from cactusridge.dispatch.online_call import OnlineCall, Progress
from cactusridge.dispatch.run import Run
from cactusridge.dispatch.stream_output import StreamOutput


class HedgedStream:
    """The body of a stream; ``run`` is the run that brings it now."""

    def __init__(
        self,
        hedging: Hedging,
        clock: Clock,
        call: OnlineCall,
        progress: Progress,
        splitter: EventSplitter,
    ) -> None:
        """Read what follows the events in ``splitter``, once ``start`` ran."""
        self._hedging = hedging
        self._clock = clock
        self._call = call
        self._progress = progress
        self._splitter = splitter

    def start(self, run: Run) -> None:
        """Read from ``run``, whose head has been received."""
        self.run = run
        self.output = StreamOutput(self._clock)
        self._awaited = AwaitedEvents(
            self._call, run, self._progress, self._splitter
        )

    def read(self) -> bytes:
        """Return the next bytes, none at the end of the stream.

        They follow the last complete event if ``run`` has changed.
        """
        while True:
            found = self._hedging.wait(self._awaited)
            if isinstance(found.received, bytes):
                return found.received
            self._replace(found)

    def _replace(self, found: Found) -> None:
        """Go on with another run, after its head."""
        awaited = self._awaited.head_at(found.run)
        self._splitter.discard_partial()
        self.run = found.run
        if found.head is None:
            self.run = self._hedging.success(awaited)
        self.start(self.run)
