"""Reads the bodies of upstream responses and detects truncated ones."""

from collections.abc import Iterator

from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

from cactusridge.errors import TruncatedReply
from cactusridge.http.pooled_reply import PooledReply

EVENT_END = b'\n\n'
STREAM_END = b'data: [DONE]'
READ_BLOCK = 65536
IO_ERRORS = (OSError, HTTPParseError)


def read_events(resp: HTTPSocketPoolResponse) -> Iterator[bytes]:
    """Yield server-sent events from a streamed response.

    Raises TruncatedReply if the connection breaks or if the stream ends
    without the ``data: [DONE]`` event.
    """
    last = b''
    try:
        with resp:
            while event := resp.readline(EVENT_END):
                last = event
                yield event
    except IO_ERRORS as exc:
        raise TruncatedReply(f'reading the stream failed: {exc!r}') from exc
    if not last.startswith(STREAM_END):
        raise TruncatedReply('the stream ended without its [DONE] event')


def read_blocks(resp: HTTPSocketPoolResponse) -> Iterator[bytes]:
    """Yield a body in blocks of up to ``READ_BLOCK`` bytes.

    Raises TruncatedReply if the connection breaks before the end.
    """
    try:
        with resp:
            while block := resp.read(READ_BLOCK):
                yield block
    except IO_ERRORS as exc:
        raise TruncatedReply(f'reading the body failed: {exc!r}') from exc


def read_parts(resp: PooledReply) -> Iterator[bytes]:
    """Yield each part of a body as it arrives.

    Raises TruncatedReply if the connection breaks before the end.
    """
    try:
        with resp:
            while part := resp.read_part():
                yield part
    except IO_ERRORS as exc:
        raise TruncatedReply(f'reading the body failed: {exc!r}') from exc
