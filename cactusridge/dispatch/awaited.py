"""What an online request awaits of the replica that runs it."""

import abc

from cactusridge.dispatch.attempts import Attempts
from cactusridge.dispatch.event_splitter import EventSplitter
from cactusridge.dispatch.online_call import OnlineCall, Progress
from cactusridge.dispatch.run import SERVER_ERROR, NotRun, Run, is_success
from cactusridge.dispatch.upstream import UpstreamHead, UpstreamRequest

# Silence in seconds after which a started stream is offered to another
# replica. A shorter one spends attempts on replicas that go on by themselves.
# A longer one leaves no time for a second offer after a refusal before callers
# abandon the stream, two seconds after its last event.
STREAM_SILENCE_S = 1.2


class Awaited(abc.ABC):
    """The next part of the answer of a run, which may be silent.

    ``repeat_growth`` is the factor by which the time grows after which another
    replica is looked for again. Each look compares the replicas of the service.
    """

    repeat_growth = 2

    def __init__(self, call: OnlineCall, run: Run, progress: Progress) -> None:
        """Await the part from ``run``, an attempt for ``call``."""
        self.call = call
        self.run = run
        self.progress = progress

    @property
    def may_repeat_here(self) -> bool:
        """Whether the request may be sent to the same replica once more.

        Its connection may be the reason for the silence. A stream that is
        bound to a software version is not sent there again.
        """
        origin = self.progress.origin
        is_bound = origin is not None and bool(origin.version)
        return len(self.progress.tried) == 1 and not is_bound

    @abc.abstractmethod
    def receive(self, wait_s: float) -> bytes | UpstreamHead:
        """Return what arrives within ``wait_s`` seconds.

        Raises UpstreamSilent if nothing does, and what the run raises.
        """

    @abc.abstractmethod
    def tolerated_s(self, attempts: Attempts) -> float:
        """Return the silence after which the request is offered, in seconds."""

    @abc.abstractmethod
    def is_usable(self, received: bytes | UpstreamHead) -> bool:
        """Return whether the request may go on with what was received."""

    @abc.abstractmethod
    def request(self) -> UpstreamRequest:
        """Return the request to send to another replica now."""

    @abc.abstractmethod
    def head_at(self, run: Run) -> 'AwaitedHead':
        """Return what is awaited of another run of the same request."""

    def record_silence(self) -> None:
        """Record that the run was silent for the tolerated time."""


class AwaitedHead(Awaited):
    """The head of an answer; of a success if the caller has a part already."""

    def __init__(
        self,
        call: OnlineCall,
        run: Run,
        progress: Progress,
        req: UpstreamRequest,
        begun: bool = False,
    ) -> None:
        """Await the head of the answer to ``req``, as sent to the replica.

        ``begun`` is whether the caller has part of an answer.
        """
        super().__init__(call, run, progress)
        self._req = req
        self._begun = begun

    def receive(self, wait_s: float) -> UpstreamHead:
        """Return the head; the request may have run unless NotRun is raised."""
        try:
            return self.run.head(wait_s, final=False)
        except NotRun:
            self.progress.may_have_run -= 1
            raise

    def tolerated_s(self, attempts: Attempts) -> float:
        """Return the time depending on the load and speed of the replica."""
        return attempts.tolerated_silence_s(self.call, self.run)

    def is_usable(self, received: bytes | UpstreamHead) -> bool:
        """Return whether the head is no failure of the replica."""
        if not isinstance(received, UpstreamHead):
            return False
        if self._begun:
            return is_success(received.status)
        return received.status < SERVER_ERROR

    def request(self) -> UpstreamRequest:
        """Return the request as sent before."""
        return self._req

    def head_at(self, run: Run) -> 'AwaitedHead':
        """Return the head that is awaited of another run."""
        return AwaitedHead(
            self.call, run, self.progress, self._req, self._begun
        )

    def record_silence(self) -> None:
        """Count the silence as a failure of the replica."""
        self.run.record_failure()


class AwaitedEvents(Awaited):
    """The next bytes of a stream, after whole and partial events."""

    # Callers leave within the second after STREAM_SILENCE_S.
    repeat_growth = 1

    def __init__(
        self,
        call: OnlineCall,
        run: Run,
        progress: Progress,
        splitter: EventSplitter,
    ) -> None:
        """Await the bytes that follow those in ``splitter``."""
        super().__init__(call, run, progress)
        self._splitter = splitter

    def receive(self, wait_s: float) -> bytes:
        """Return the next bytes, none at the end of the stream."""
        return self.run.read(wait_s, final=False)

    def tolerated_s(self, attempts: Attempts) -> float:
        """Return STREAM_SILENCE_S."""
        return STREAM_SILENCE_S

    def is_usable(self, received: bytes | UpstreamHead) -> bool:
        """Return True: any bytes continue the stream."""
        return True

    def request(self) -> UpstreamRequest:
        """Return a request that resumes after the last complete event."""
        return self.call.req._replace(resume_after=self._splitter.last_id)

    def head_at(self, run: Run) -> AwaitedHead:
        """Return the head of a run that resumes the stream."""
        return AwaitedHead(
            self.call, run, self.progress, self.request(), begun=True
        )
