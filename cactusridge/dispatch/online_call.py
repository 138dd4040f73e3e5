"""The state of an online request in the dispatcher."""

from collections.abc import Iterator
from typing import NamedTuple

from cactusridge.dispatch.caller import CallerWatch
from cactusridge.dispatch.catalog import Route
from cactusridge.dispatch.expectation import Expectation
from cactusridge.dispatch.upstream import HeaderList, UpstreamRequest
from cactusridge.fleet.stream_origin import StreamOrigin
from cactusridge.organisations.permit import OPEN_PERMIT, Permit


class OnlineCall(NamedTuple):
    """A caller's request.

    ``arrived_at`` and ``deadline_at`` are in seconds on the monotonic
    clock of the dispatcher.
    """

    req: UpstreamRequest
    route: Route
    arrived_at: float
    deadline_at: float
    caller: CallerWatch
    permit: Permit = OPEN_PERMIT


class Answer(NamedTuple):
    """The answer for the caller.

    If ``body`` is an iterator, it raises a CactusridgeError when the
    answer cannot be completed.
    """

    status: int
    headers: HeaderList
    body: list[bytes] | Iterator[bytes]


class Progress:
    """The attempts made for one call.

    ``tried`` lists the incarnations of replicas in the order of the
    attempts. ``may_have_run`` counts the attempts that may have run the
    request, ``rejections`` those rejected before it ran. ``expected`` is what
    was expected of the last replica to which the request was sent. ``service``
    is the one whose slots the request has waited for, or empty. ``origin`` is
    set once the caller has events: only replicas of that origin may go on.
    """

    def __init__(self) -> None:
        """Start with no attempts."""
        self.tried: list[str] = []
        self.may_have_run = 0
        self.rejections = 0
        self.expected = Expectation(0, 0, 0)
        self.service = ''
        self.origin: StreamOrigin | None = None
