"""One request that waits at its entry."""

from gevent.event import Event

from cactusridge.dispatch.online_call import OnlineCall
from cactusridge.errors import CactusridgeError
from cactusridge.queueing.outcome import Outcome
from cactusridge.queueing.pace import Pace
from cactusridge.queueing.turns import Turn


class WaitingRequest:
    """A request that waits for a slot of ``service``.

    ``since`` is the start of its wait, in seconds on the monotonic clock, and
    ``place`` the number of requests that had their turn before it then.
    ``ended`` is set with ``outcome`` and, unless it may start, ``error``.
    """

    def __init__(
        self,
        call: OnlineCall,
        service: str,
        turn: Turn,
        pace: Pace,
        since: float,
    ) -> None:
        """Start the wait of ``call``."""
        self.call = call
        self.service = service
        self.turn = turn
        self.pace = pace
        self.since = since
        self.place = 0
        self.outcome = Outcome.interrupted
        self.error: CactusridgeError | None = None
        self.ended = Event()

    @property
    def body_bytes(self) -> int:
        """The size of the request's body in bytes."""
        return len(self.call.req.body)

    def end(
        self,
        outcome: Outcome,
        error: CactusridgeError | None = None,
    ) -> None:
        """End the wait; only the first end counts."""
        if self.ended.is_set():
            return
        self.outcome = outcome
        self.error = error
        self.ended.set()
