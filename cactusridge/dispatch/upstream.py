"""The interface of protocols by which requests are sent to upstreams."""

import abc
from typing import NamedTuple

from cactusridge.errors import CactusridgeError, Refused
from cactusridge.fleet.replica import Replica

HeaderList = list[tuple[str, str]]


class UpstreamRequest(NamedTuple):
    """A request as the caller sent it.

    ``target`` is the raw request target. ``fingerprint`` is the same for
    all repeats of a request. ``resume_after`` is the id of the last event
    received when a stream is resumed, else None. ``resumes`` is the id of the
    caller's attempt that brought the first event of that stream, or empty.
    ``organisation`` is the name of the caller's organisation, or empty if
    there is none. ``parts`` are the keys of the parts of the prompt that other
    requests may share.
    """

    id: str
    method: str
    target: str
    headers: HeaderList
    body: bytes
    fingerprint: str
    resume_after: str | None = None
    organisation: str = ''
    resumes: str = ''
    parts: tuple[str, ...] = ()


class UpstreamHead(NamedTuple):
    """The status and headers of an upstream's answer.

    ``not_run`` is True if the upstream reported that the request did not
    run. ``misdirected`` is True if another process now listens at the
    address. ``signed`` is True if the answer belongs to this request and
    carries the signature header of the upstream.
    """

    status: int
    headers: HeaderList
    not_run: bool
    misdirected: bool
    signed: bool


class ConnectFailed(Refused):
    """The upstream could not be reached; nothing was sent."""

    code = 'connect_failed'


class ConnectTimedOut(ConnectFailed):
    """The upstream has neither accepted nor refused a connection in time."""


class UnknownProcess(ConnectFailed):
    """Another process than the listed one may be there; nothing was sent."""


class UpstreamSilent(CactusridgeError):
    """The upstream sent nothing within the time limit."""

    status = 504
    kind = 'timeout_error'
    code = 'upstream_silent'


class Exchange(abc.ABC):
    """One request in flight at one replica."""

    @abc.abstractmethod
    def head(self, wait_s: float) -> UpstreamHead:
        """Return the head of the answer.

        Raises UpstreamSilent if nothing arrives within ``wait_s`` seconds;
        the method may then be called again. Raises OutcomeUnknown if the
        connection breaks, and CrossedReply if the data received is not an
        answer to this request.
        """

    @abc.abstractmethod
    def read(self, wait_s: float) -> bytes:
        """Return the next bytes of the body, or none when it is complete.

        Raises UpstreamSilent if nothing arrives within ``wait_s`` seconds;
        the method may then be called again. Raises TruncatedReply if the
        body breaks off.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Return the connection to its pool, or close it.

        The connection is closed if the answer is incomplete, which
        cancels the request at the upstream.
        """

    def is_listed_process(self) -> bool:
        """Return whether the listed incarnation is known to run the request.

        A protocol that cannot tell takes it for granted.
        """
        return True

    def ask_process(self) -> None:
        """Find out which incarnation runs the request, without waiting."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Interrupt a greenlet that waits for the answer.

        This breaks the connection, which cancels the request at the
        upstream.
        """


class Upstream(abc.ABC):
    """Sends requests to replicas."""

    @abc.abstractmethod
    def send(
        self,
        replica: Replica,
        req: UpstreamRequest,
        left_s: float,
        new_connection: bool = False,
    ) -> Exchange:
        """Send ``req``, which has ``left_s`` seconds to its deadline.

        If ``new_connection`` is set, the request goes out on a new connection.
        Raises ConnectFailed if the replica could not be reached, and
        OutcomeUnknown if the connection broke while sending.
        """

    @abc.abstractmethod
    def is_running(self, replica: Replica, connect_s: float) -> bool:
        """Return whether this incarnation still listens at its address.

        Connecting is tried once at least, and for ``connect_s`` seconds.
        """

    def shared_parts(self, headers: HeaderList) -> tuple[str, ...]:
        """Return the keys of the parts of a prompt that requests may share.

        A protocol that does not state them has none.
        """
        return ()
