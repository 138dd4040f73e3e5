"""One attempt of a request at a sidecar, and the frames of its reply."""

import abc
import contextlib
import itertools
from collections.abc import Callable, Iterator
from typing import NamedTuple

from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

from cactusridge.errors import (
    CactusridgeError,
    CrossedReply,
    OutcomeUnknown,
    TruncatedReply,
    UpstreamCrashed,
)
from cactusridge.http import frames
from cactusridge.http.frames import Frame, FrameKind
from cactusridge.orders import RunOrder, SidecarReport
from cactusridge.sidecar_dispatch.dispatch import Buffering
from cactusridge.sidecar_dispatch.replica import Replica

IO_ERRORS = (OSError, HTTPParseError)
OK = 200
UNREADABLE = 502


class RunListener(abc.ABC):
    """Receives the outcome of a run at the upstream."""

    @abc.abstractmethod
    def record_completion(self) -> None:
        """Record that the upstream has completed its answer."""

    @abc.abstractmethod
    def crashed(self, has_output: bool) -> None:
        """Record that the upstream process ended during the run.

        ``has_output`` is True if part of the output had been received.
        """


class Callbacks(NamedTuple):
    """The receivers of heartbeats, sidecar reports and the run's outcome."""

    heartbeat: Callable[[], None]
    report: Callable[[SidecarReport], None]
    run: RunListener


class RemoteRefusal(CactusridgeError):
    """The sidecar refused the order."""

    def __init__(self, status: int, body: dict[str, object]) -> None:
        """Copy the fields of the sidecar's error message.

        ``body`` has the keys ``message``, ``type``, ``code``,
        ``retry_after_s`` (seconds) and ``not_run``; each is optional.
        """
        retry_after_s = body.get('retry_after_s')
        super().__init__(
            str(body.get('message', '')),
            retry_after_s=retry_after_s,
        )
        self.status = status
        self.kind = str(body.get('type', 'unavailable'))
        self.code = str(body.get('code', 'refused'))
        self.not_run = body.get('not_run')


class Attempt:
    """Reads the reply to one order and checks that it has its id."""

    def __init__(
        self,
        order: RunOrder,
        replica: Replica,
        resp: HTTPSocketPoolResponse,
        callbacks: Callbacks,
    ) -> None:
        """Read frames from ``resp`` and pass them to ``callbacks``."""
        self.order = order
        self.replica = replica
        self.status = OK
        self.headers: list[tuple[str, str]] = []
        self.started = False
        self._resp = resp
        self._callbacks = callbacks
        self._replica_work = replica.own
        self._replica_work[order.work] += 1
        self._counted = True
        self._open = True
        self._ended = False
        self._has_output = False
        self._prefetched: list[bytes] = []

    def wait_head(self) -> None:
        """Read frames up to the head and store its status and headers.

        Raises RemoteRefusal if the sidecar refused the order,
        OutcomeUnknown if the reply ended before the run started,
        TruncatedReply if it ended later, and CrossedReply if the reply
        belongs to another order.
        """
        while True:
            frame = self._read()
            if frame.head['kind'] == FrameKind.head:
                self.status = frame.head['status']
                self.headers = [
                    (name, text) for name, text in frame.head['headers']
                ]
                return

    def prefetch(self, buffering: Buffering) -> None:
        """Read the part of the body that is needed before the answer starts."""
        if buffering == Buffering.whole:
            self._prefetched = list(self._frames())
        if buffering == Buffering.first:
            self._prefetched = list(itertools.islice(self._frames(), 1))

    def blocks(self) -> Iterator[bytes]:
        """Yield the body and close the attempt.

        Raises the errors of ``wait_head`` if the body is incomplete.
        """
        try:
            yield from self._prefetched
            yield from self._frames()
        finally:
            self.close()

    def read_body(self) -> bytes:
        """Return the complete body."""
        return b''.join(self.blocks())

    def close(self) -> None:
        """Return the connection to its pool, or close it.

        Closing it cancels an order that has not ended.
        """
        if not self._open:
            return
        self._open = False
        self._stop_counting()
        if not self._resp.message_complete:
            # Read the last chunk of an ended reply, so that the connection
            # can be reused. Otherwise ``release`` closes the connection,
            # and the sidecar cancels the order.
            self._finish_if_ended()
        self._resp.release()

    def _stop_counting(self) -> None:
        if self._counted:
            self._counted = False
            self._replica_work[self.order.work] -= 1

    def _finish_if_ended(self) -> None:
        if not self._ended:
            return
        with contextlib.suppress(*IO_ERRORS):
            self._resp.read()

    def _frames(self) -> Iterator[bytes]:
        while not self._ended:
            frame = self._read()
            if frame.payload:
                self._has_output = True
                yield frame.payload
        self._callbacks.run.record_completion()

    def _read(self) -> Frame:
        """Return the next head, body or end frame."""
        while True:
            frame = self._next()
            kind = frame.head['kind']
            if kind == FrameKind.heartbeat:
                self._callbacks.heartbeat()
            elif kind == FrameKind.refusal:
                raise self._refusal(frame)
            elif kind == FrameKind.started:
                self.started = True
            else:
                self._check(frame)
                return frame

    def _refusal(self, frame: Frame) -> RemoteRefusal:
        """Return the refusal after reading the report that follows it."""
        end = self._next()
        if end.head['kind'] == FrameKind.end:
            self._check(end)
        refusal = RemoteRefusal(
            frame.head.get('status', UNREADABLE),
            frame.head.get('error', {}),
        )
        if refusal.code == UpstreamCrashed.code:
            self._callbacks.run.crashed(self._has_output)
        return refusal

    def _next(self) -> Frame:
        try:
            return frames.read_frame(self._resp)
        except IO_ERRORS as exc:
            raise self._broken(repr(exc)) from exc
        except TruncatedReply as exc:
            raise self._broken(str(exc)) from exc

    def _broken(self, reason: str) -> CactusridgeError:
        if not self.started:
            return OutcomeUnknown(reason)
        exc = TruncatedReply(reason)
        exc.not_run = False
        return exc

    def _check(self, frame: Frame) -> None:
        given = frame.head.get('id', self.order.id)
        if given != self.order.id:
            raise CrossedReply(f'sent order {self.order.id}, got {given}')
        if frame.head['kind'] == FrameKind.end:
            self._ended = True
            # The sidecar made the report after this request had ended.
            self._stop_counting()
        report = frame.head.get('report')
        if report is not None:
            self._callbacks.report(report)
