"""One dispatch to one sidecar and the frames of its reply."""

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
    """Is told how a run ended, as far as the upstream is concerned."""

    @abc.abstractmethod
    def survived(self) -> None:
        """Note that the upstream has answered to the end."""

    @abc.abstractmethod
    def crashed(self, has_output: bool) -> None:
        """Note that the upstream ended; ``has_output`` if some had come."""


class Callbacks(NamedTuple):
    """Who is told of heartbeats, the sidecar's reports and the run's end."""

    heartbeat: Callable[[], None]
    report: Callable[[SidecarReport], None]
    run: RunListener


class RemoteRefusal(CactusridgeError):
    """A sidecar's refusal, as it said it."""

    def __init__(self, status: int, body: dict[str, object]) -> None:
        """Take over status, code and whether the order ran."""
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
    """Reads the reply to one order; checks that it is this order's."""

    def __init__(
        self,
        order: RunOrder,
        replica: Replica,
        resp: HTTPSocketPoolResponse,
        callbacks: Callbacks,
    ) -> None:
        """Read frames from ``resp``; call back on heartbeats and reports."""
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
        """Read up to the head; raise the sidecar's refusal if it is one."""
        while True:
            frame = self._read()
            if frame.head['kind'] == FrameKind.head:
                self.status = frame.head['status']
                self.headers = [
                    (name, text) for name, text in frame.head['headers']
                ]
                return

    def prefetch(self, buffering: Buffering) -> None:
        """Read as much of the body as has to be there before answering."""
        if buffering == Buffering.whole:
            self._prefetched = list(self._frames())
        if buffering == Buffering.first:
            self._prefetched = list(itertools.islice(self._frames(), 1))

    def blocks(self) -> Iterator[bytes]:
        """Yield the body; raise unless it comes whole."""
        try:
            yield from self._prefetched
            yield from self._frames()
        finally:
            self.close()

    def whole(self) -> bytes:
        """Return the whole body."""
        return b''.join(self.blocks())

    def close(self) -> None:
        """Give the connection back, or end it and so cancel the order."""
        if not self._open:
            return
        self._open = False
        self._uncount()
        if not self._resp.message_complete:
            # Read the closing chunk if it is there already; otherwise
            # releasing closes the connection and the sidecar cancels.
            self._finish_if_ended()
        self._resp.release()

    def _uncount(self) -> None:
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
        self._callbacks.run.survived()

    def _read(self) -> Frame:
        """Return the next frame that is no heartbeat."""
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
        """Return the refusal; the report that follows it is taken too."""
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
            raise CrossedReply(f'asked {self.order.id}, got {given}')
        if frame.head['kind'] == FrameKind.end:
            self._ended = True
            # The report was made after this request had left.
            self._uncount()
        report = frame.head.get('report')
        if report is not None:
            self._callbacks.report(report)
