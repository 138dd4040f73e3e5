"""A request to be dispatched, before its replica is chosen."""

import enum
from typing import NamedTuple

from cactusridge.orders import Fence, RunOrder, WorkClass
from cactusridge.quarantine.fingerprint import fingerprint_of
from cactusridge.settings.catalog import Service

MIN_DEADLINE_S = 1e-3


class Buffering(enum.StrEnum):
    """How much of the body is read before the answer is passed on.

    ``first`` stands for the first frame with a payload.
    """

    none = 'none'
    first = 'first'
    whole = 'whole'


class Dispatch(NamedTuple):
    """A request for a service, to be placed on one of its replicas.

    ``deadline_at`` is in seconds on the monotonic clock, ``slack_s`` is in
    seconds.
    """

    service: Service
    team: str
    work: WorkClass
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_at: float
    repeatable: bool
    streamed: bool = False
    buffering: Buffering = Buffering.whole
    prefix: bytes = b''
    share: float = 1
    slack_s: float = 0
    solo: bool = False
    fence: Fence | None = None

    def fingerprint(self) -> str:
        """Return the fingerprint, equal for all repeats by the same team."""
        return fingerprint_of(
            self.team,
            self.method,
            self.service.path,
            self.path,
            self.body,
        )

    def order(
        self,
        order_id: str,
        incarnation: str,
        now: float,
        wants_report: bool,
    ) -> RunOrder:
        """Return the order for one attempt at a sidecar.

        ``incarnation`` is that of the sidecar, ``now`` the monotonic time
        in seconds.
        """
        return RunOrder(
            id=order_id,
            incarnation=incarnation,
            service=self.service.path,
            team=self.team,
            work=self.work,
            method=self.method,
            path=self.path,
            headers=self.headers,
            deadline_s=max(MIN_DEADLINE_S, self.deadline_at - now),
            slack_s=self.slack_s,
            share=self.share,
            repeatable=self.repeatable,
            streamed=self.streamed,
            solo=self.solo,
            wants_report=wants_report,
            fence=self.fence,
        )
