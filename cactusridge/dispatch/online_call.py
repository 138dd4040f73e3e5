"""An online request on its way through the dispatcher."""

from collections.abc import Iterator
from typing import NamedTuple

from cactusridge.dispatch.caller import CallerWatch
from cactusridge.dispatch.catalog import Route
from cactusridge.dispatch.upstream import HeaderList, UpstreamRequest
from cactusridge.organisations.permit import OPEN, Permit


class OnlineCall(NamedTuple):
    """A caller's request; ``deadline_at`` is on the dispatcher's clock."""

    req: UpstreamRequest
    route: Route
    arrived_at: float
    deadline_at: float
    caller: CallerWatch
    permit: Permit = OPEN


class Answer(NamedTuple):
    """What the caller gets; ``body`` raises when it cannot be whole."""

    status: int
    headers: HeaderList
    body: list[bytes] | Iterator[bytes]


class Progress:
    """What has been tried for one call."""

    def __init__(self) -> None:
        """Start with nothing tried."""
        self.tried: list[str] = []
        self.may_have_run = 0
        self.turned_away = 0
