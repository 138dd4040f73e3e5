"""One upstream: sends it requests and reads whole or streamed answers."""

from collections.abc import Iterator
from http import HTTPStatus
from http.client import HTTPConnection
from typing import NamedTuple

import gevent

from cactusridge import events, logs
from cactusridge.errors import (
    CrossedReply,
    NoReplica,
    OutcomeUnknown,
    TruncatedReply,
    UpstreamCrashed,
    UpstreamFailed,
)
from cactusridge.http import patience
from cactusridge.http.client import Clients, parse_address
from cactusridge.http.probe import stays_open
from cactusridge.orders import RunOrder, WorkClass
from cactusridge.sidecar.answer_bodies import (
    IO_ERRORS,
    read_available,
    read_blocks,
    read_events,
)
from cactusridge.startup.models import SidecarSettings, UpstreamSettings

ID_HEADER = 'X-Request-Id'
RESUME_HEADER = 'X-Resume'
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'host',
        'content-length',
    ),
)


class UpstreamHead(NamedTuple):
    """Status and headers of an upstream's answer."""

    status: int
    headers: list[tuple[str, str]]


class Answer(NamedTuple):
    """An answer: its head, and its body as it comes."""

    head: UpstreamHead
    body: Iterator[bytes]


def end_to_end(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that go on to the next hop."""
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
    ]


class Upstream:
    """Speaks HTTP to one model engine or plain service."""

    def __init__(
        self, cfg: UpstreamSettings, host_cfg: SidecarSettings
    ) -> None:
        """Reach the upstream at the address in ``cfg``."""
        self.cfg = cfg
        self.address = parse_address(cfg.address)
        self._host_cfg = host_cfg
        self._clients = Clients(
            host_cfg.connect_timeout_s,
            cfg.read_timeout_s,
        )

    def call(self, order: RunOrder, body: bytes, resume: bool) -> Answer:
        """Send ``order``; return its answer once the head is there.

        Raises NoReplica when the upstream cannot be reached (not run),
        UpstreamCrashed when it ended before it answered, OutcomeUnknown
        when it is there and the answer is lost.
        """
        headers = dict(end_to_end(list(order.headers)))
        headers[ID_HEADER] = order.id
        if resume:
            headers[RESUME_HEADER] = '1'
        if order.fence is not None:
            headers['X-Fencing-Resource'] = order.fence.resource
            headers['X-Fencing-Number'] = str(order.fence.number)
        if order.method == 'POST':
            answer = self._call_pooled(order, body, headers)
        else:
            answer = self._call_once(order, body, headers)
        self._check_id(order, answer.head)
        return answer

    def cancel(self, order: RunOrder, keep: bool) -> None:
        """Tell the engine to end a stream; ``keep`` lets it be resumed."""
        if order.work == WorkClass.online and not order.streamed:
            return
        path = f'/v1/streams/{order.id}/cancel?keep={int(keep)}'
        gevent.spawn(self._cancel, path)

    def _cancel(self, path: str) -> None:
        try:
            self._clients.post_json(self.address, path, {})
        except Exception as exc:
            # The closed connection cancels too; this only makes sure.
            logs.emit(events.UPSTREAM_FAILED, error=repr(exc), path=path)

    def _call_pooled(
        self,
        order: RunOrder,
        body: bytes,
        headers: dict[str, str],
    ) -> Answer:
        try:
            resp = self._clients.send(
                self.address,
                order.path,
                body,
                headers,
                order.method,
            )
        except ConnectionRefusedError as exc:
            raise NoReplica('the upstream refuses connections') from exc
        except IO_ERRORS as exc:
            self._clients.drop(self.address)
            self._raise_if_crashed(exc)
            raise OutcomeUnknown(f'no answer: {exc!r}') from exc
        head = UpstreamHead(resp.status_code, end_to_end(resp.headers))
        if order.streamed and head.status == HTTPStatus.OK:
            return Answer(head, self._guarded(read_events(resp)))
        return Answer(head, self._guarded(read_blocks(resp)))

    def _call_once(
        self,
        order: RunOrder,
        body: bytes,
        headers: dict[str, str],
    ) -> Answer:
        """Call on a connection of its own.

        geventhttpclient sends GET, PUT and DELETE again when a reused
        connection was closed; whether a call may be repeated is ours to
        say, so these go through the standard library, which never does.
        """
        conn = HTTPConnection(*self.address)
        try:
            conn.sock = patience.connect(
                self.address,
                self._host_cfg.connect_timeout_s,
                self.cfg.read_timeout_s,
            )
        except OSError as exc:
            raise NoReplica(f'cannot connect: {exc!r}') from exc
        try:
            conn.request(order.method, order.path, body, headers)
            resp = conn.getresponse()
        except IO_ERRORS as exc:
            conn.close()
            self._raise_if_crashed(exc)
            raise OutcomeUnknown(f'no answer: {exc!r}') from exc
        head = UpstreamHead(resp.status, end_to_end(resp.getheaders()))
        return Answer(head, self._guarded(read_available(conn, resp)))

    def _guarded(self, blocks: Iterator[bytes]) -> Iterator[bytes]:
        """Yield a body; tell an upstream that ended from a broken answer."""
        try:
            yield from blocks
        except TruncatedReply as exc:
            self._raise_if_crashed(exc.__cause__)
            raise

    def _raise_if_crashed(self, cause: BaseException | None) -> None:
        """Raise UpstreamCrashed if a connection broke since it ended.

        A silent upstream may be at work, and one that takes another
        connection and keeps it lives.
        """
        if cause is None or isinstance(cause, TimeoutError):
            return
        if not self._accepts():
            raise UpstreamCrashed(f'cut off: {cause!r}') from cause

    def _accepts(self) -> bool:
        """Tell whether the upstream takes a connection and keeps it."""
        try:
            sock = patience.connect(
                self.address,
                self._host_cfg.connect_timeout_s,
                self.cfg.read_timeout_s,
            )
        except OSError:
            return False
        with sock:
            return stays_open(sock)

    def _check_id(self, order: RunOrder, head: UpstreamHead) -> None:
        for name, text in head.headers:
            if name.lower() == ID_HEADER.lower() and text != order.id:
                self._clients.drop(self.address)
                raise CrossedReply(f'asked {order.id}, got {text}')


def is_failure(exc: BaseException) -> bool:
    """Tell whether ``exc`` says that the upstream itself failed."""
    return isinstance(exc, (UpstreamFailed, OutcomeUnknown, NoReplica))
