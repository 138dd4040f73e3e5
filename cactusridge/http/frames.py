r"""Frames of a streamed reply between an entry and a sidecar.

A frame is a line of JSON ending in ``\n``, then ``size`` raw bytes.
"""

import enum
from typing import Any, NamedTuple, NotRequired, Protocol, TypedDict

from cactusridge import wire
from cactusridge.errors import BadRequest, TruncatedReply

NEWLINE = b'\n'


class FrameKind(enum.StrEnum):
    """The kind of a frame."""

    heartbeat = 'hb'
    started = 'started'
    head = 'head'
    body = 'body'
    refusal = 'refusal'
    end = 'end'


class FrameHead(TypedDict):
    """The JSON line of a frame."""

    kind: str
    size: NotRequired[int]
    id: NotRequired[str]
    status: NotRequired[int]
    headers: NotRequired[list[list[str]]]
    error: NotRequired[dict[str, Any]]
    report: NotRequired[dict[str, Any]]


class Frame(NamedTuple):
    """One frame: its JSON line and its raw bytes."""

    head: FrameHead
    payload: bytes = b''


class Readable(Protocol):
    """A source of frames, such as a response of geventhttpclient."""

    def readline(self, sep: bytes) -> bytes:
        """Return the bytes up to and including ``sep``; none at the end."""

    def read(self, length: int) -> bytes:
        """Return ``length`` bytes, or fewer at the end."""


def encode(head: FrameHead, payload: bytes = b'') -> bytes:
    """Return the bytes of one frame."""
    if payload:
        head['size'] = len(payload)
    return b''.join((wire.encode(head), NEWLINE, payload))


def read_frame(source: Readable) -> Frame:
    """Return the next frame; raise TruncatedReply if there is none."""
    line = source.readline(NEWLINE)
    if not line:
        raise TruncatedReply
    head = _parse_head(line)
    size = head.get('size', 0)
    payload = source.read(size) if size else b''
    if len(payload) != size:
        raise TruncatedReply
    return Frame(head, payload)


def _parse_head(line: bytes) -> FrameHead:
    """Return the head in ``line``; raise TruncatedReply if it is invalid."""
    try:
        head = wire.decode(line)
    except BadRequest as exc:
        raise TruncatedReply(str(exc)) from exc
    if not isinstance(head, dict) or 'kind' not in head:
        raise TruncatedReply('a frame has no kind')
    size = head.get('size', 0)
    if not isinstance(size, int) or size < 0:
        raise TruncatedReply('a frame has an invalid size')
    return FrameHead(**head)
