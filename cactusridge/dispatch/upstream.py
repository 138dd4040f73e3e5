"""What the dispatcher needs of a protocol towards upstreams."""

import abc
from typing import NamedTuple

from cactusridge.errors import CactusridgeError, Refused
from cactusridge.fleet.replica import Replica

HeaderList = list[tuple[str, str]]


class UpstreamRequest(NamedTuple):
    """A request as the caller sent it.

    ``target`` is the raw request target. ``fingerprint`` is the same for
    all repeats of a request. ``resume_after`` is the id of the last event
    that is already there, if the stream is to go on. ``organisation`` is
    the name of the caller's, empty where it has none.
    """

    id: str
    method: str
    target: str
    headers: HeaderList
    body: bytes
    fingerprint: str
    resume_after: str | None = None
    organisation: str = ''


class UpstreamHead(NamedTuple):
    """The status and headers of an upstream's answer.

    ``not_run`` is its word that the request has not run; ``wrong_one``
    that another process has the address now. ``genuine`` says that the
    answer is this request's and is marked as the upstream's own.
    """

    status: int
    headers: HeaderList
    not_run: bool
    wrong_one: bool
    genuine: bool


class ConnectFailed(Refused):
    """The upstream could not be reached; nothing was sent."""

    code = 'connect_failed'


class UpstreamSilent(CactusridgeError):
    """The upstream has said nothing for a while."""

    status = 504
    kind = 'timeout_error'
    code = 'upstream_silent'


class Exchange(abc.ABC):
    """One request under way at one replica."""

    @abc.abstractmethod
    def head(self, wait_s: float) -> UpstreamHead:
        """Return the head of the answer.

        Raises UpstreamSilent after ``wait_s`` seconds (it may be asked
        again), OutcomeUnknown when the connection broke, CrossedReply
        for what is no answer to this request.
        """

    @abc.abstractmethod
    def read(self, wait_s: float) -> bytes:
        """Return the next bytes of the body, nothing at its whole end.

        Raises UpstreamSilent, or TruncatedReply when it breaks off.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Give the connection back, or close it if the answer is not over.

        Closing it tells the upstream to stop.
        """

    @abc.abstractmethod
    def abort(self) -> None:
        """End a wait of another greenlet; the upstream stops."""


class Upstream(abc.ABC):
    """Sends requests to replicas."""

    @abc.abstractmethod
    def send(
        self,
        replica: Replica,
        req: UpstreamRequest,
        left_s: float,
        fresh: bool = False,
    ) -> Exchange:
        """Send ``req`` with ``left_s`` seconds left; raise ConnectFailed.

        A ``fresh`` one goes out on a new connection. Raises
        OutcomeUnknown when the connection broke while sending.
        """

    @abc.abstractmethod
    def lives(self, replica: Replica) -> bool:
        """Tell whether ``replica`` itself is still at its address."""
