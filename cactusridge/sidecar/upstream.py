"""HTTP client of one upstream, for complete and streamed responses."""

from collections.abc import Iterator
from http import HTTPStatus
from types import MappingProxyType
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
from cactusridge.http import unpaused_sockets
from cactusridge.http.client import MAX_REPLY_BYTES, Clients, parse_address
from cactusridge.http.probe import is_still_open
from cactusridge.http.single_use import SingleUseClient
from cactusridge.orders import RunOrder, WorkClass
from cactusridge.sidecar.response_bodies import (
    IO_ERRORS,
    read_blocks,
    read_events,
    read_parts,
)
from cactusridge.startup.models import SidecarSettings, UpstreamSettings

ID_HEADER = 'X-Request-Id'
RESUME_HEADER = 'X-Resume'
# Sent unless the caller accepts encodings.
NO_ENCODING = MappingProxyType({'Accept-Encoding': 'identity'})
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
    """Status and end-to-end headers of an upstream response."""

    status: int
    headers: list[tuple[str, str]]


class Answer(NamedTuple):
    """An upstream response; ``body`` yields blocks as they arrive."""

    head: UpstreamHead
    body: Iterator[bytes]


def end_to_end(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return ``headers`` without hop-by-hop, Host and Content-Length."""
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
    ]


class Upstream:
    """Sends requests to one model engine or plain service."""

    def __init__(
        self, cfg: UpstreamSettings, host_cfg: SidecarSettings
    ) -> None:
        """Create a client for the upstream at ``cfg.address``."""
        self.cfg = cfg
        self.address = parse_address(cfg.address)
        self._host_cfg = host_cfg
        self._clients = Clients(
            host_cfg.connect_timeout_s,
            cfg.read_timeout_s,
        )

    def call(self, order: RunOrder, body: bytes, resume: bool) -> Answer:
        """Send ``order``; return the response once its head has arrived.

        Raises NoReplica if the upstream is unreachable and the order has not
        run, UpstreamCrashed if the upstream process ended before it
        responded, OutcomeUnknown if the upstream still runs and the response
        was lost, and CrossedReply if the response is to another request.
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
            answer = self._call_unpooled(order, body, headers)
        self._check_id(order, answer.head)
        return answer

    def cancel(self, order: RunOrder, keep: bool) -> None:
        """Ask the engine to end a stream; ``keep`` lets it be resumed later.

        Does nothing for online orders that are not streamed. The request is
        sent in the background, and its failure is only logged.
        """
        if order.work == WorkClass.online and not order.streamed:
            return
        path = f'/v1/streams/{order.id}/cancel?keep={int(keep)}'
        gevent.spawn(self._cancel, path)

    def _cancel(self, path: str) -> None:
        try:
            self._clients.post_json(self.address, path, {})
        except Exception as exc:
            # Closing the connection cancels the stream as well, so this
            # failure needs no retry.
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
            raise OutcomeUnknown(f'no response: {exc!r}') from exc
        head = UpstreamHead(resp.status_code, end_to_end(resp.headers))
        if order.streamed and head.status == HTTPStatus.OK:
            return Answer(head, self._raising_on_crash(read_events(resp)))
        return Answer(head, self._raising_on_crash(read_blocks(resp)))

    def _call_unpooled(
        self,
        order: RunOrder,
        body: bytes,
        headers: dict[str, str],
    ) -> Answer:
        """Send a request on a new connection that is not reused.

        geventhttpclient repeats GET, PUT and DELETE requests when a reused
        connection turns out to be closed. An order may be repeated only by
        the entry.
        """
        try:
            sock = unpaused_sockets.connect(
                self.address,
                self._host_cfg.connect_timeout_s,
                self.cfg.read_timeout_s,
            )
        except OSError as exc:
            raise NoReplica(f'cannot connect: {exc!r}') from exc
        client = SingleUseClient(sock, self.address, MAX_REPLY_BYTES)
        client.default_headers.update(NO_ENCODING)
        try:
            resp = client.request(order.method, order.path, body, headers)
        except IO_ERRORS as exc:
            self._raise_if_crashed(exc)
            raise OutcomeUnknown(f'no response: {exc!r}') from exc
        head = UpstreamHead(resp.status_code, end_to_end(resp.headers))
        return Answer(head, self._raising_on_crash(read_parts(resp)))

    def _raising_on_crash(self, blocks: Iterator[bytes]) -> Iterator[bytes]:
        """Yield ``blocks``; raise UpstreamCrashed if the upstream has ended.

        A body cut short by an upstream that still runs raises TruncatedReply.
        """
        try:
            yield from blocks
        except TruncatedReply as exc:
            self._raise_if_crashed(exc.__cause__)
            raise

    def _raise_if_crashed(self, cause: BaseException | None) -> None:
        """Raise UpstreamCrashed if ``cause`` comes from a crashed upstream.

        A timeout is no evidence of a crash, as the upstream may still be
        working. An upstream that accepts a new connection and keeps it open
        has not crashed.
        """
        if cause is None or isinstance(cause, TimeoutError):
            return
        if not self._accepts_connections():
            raise UpstreamCrashed(f'the connection broke: {cause!r}') from cause

    def _accepts_connections(self) -> bool:
        """Return whether the upstream accepts and keeps a connection.

        While it is silent, its queue of new connections may be full.
        """
        try:
            sock = unpaused_sockets.connect(
                self.address,
                self._host_cfg.connect_timeout_s,
                self.cfg.read_timeout_s,
            )
        except TimeoutError:
            return True
        except OSError:
            return False
        with sock:
            return is_still_open(sock)

    def _check_id(self, order: RunOrder, head: UpstreamHead) -> None:
        for name, text in head.headers:
            if name.lower() == ID_HEADER.lower() and text != order.id:
                self._clients.drop(self.address)
                raise CrossedReply(
                    f'sent {order.id}, received a response to {text}'
                )


def is_failure(exc: BaseException) -> bool:
    """Return whether ``exc`` is a failure of the upstream itself."""
    return isinstance(exc, (UpstreamFailed, OutcomeUnknown, NoReplica))
