"""Reads the bodies of an upstream's answers to their whole end."""

from collections.abc import Iterator
from http.client import HTTPConnection, HTTPException, HTTPResponse

from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

from cactusridge.errors import TruncatedReply

EVENT_END = b'\n\n'
STREAM_END = b'data: [DONE]'
READ_BLOCK = 65536
IO_ERRORS = (OSError, HTTPParseError, HTTPException)


def read_events(resp: HTTPSocketPoolResponse) -> Iterator[bytes]:
    """Yield server-sent events; raise TruncatedReply without the last."""
    last = b''
    try:
        with resp:
            while event := resp.readline(EVENT_END):
                last = event
                yield event
    except IO_ERRORS as exc:
        raise TruncatedReply(f'the stream broke: {exc!r}') from exc
    if not last.startswith(STREAM_END):
        raise TruncatedReply('the stream ended without [DONE]')


def read_blocks(resp: HTTPSocketPoolResponse) -> Iterator[bytes]:
    """Yield a body of stated length; raise TruncatedReply."""
    try:
        with resp:
            while block := resp.read(READ_BLOCK):
                yield block
    except IO_ERRORS as exc:
        raise TruncatedReply(f'the body broke: {exc!r}') from exc


def read_available(
    conn: HTTPConnection,
    resp: HTTPResponse,
) -> Iterator[bytes]:
    """Yield a body as it comes, then close; raise TruncatedReply."""
    try:
        while block := resp.read1(READ_BLOCK):
            yield block
    except IO_ERRORS as exc:
        raise TruncatedReply(f'the body broke: {exc!r}') from exc
    finally:
        conn.close()
    if resp.length:
        raise TruncatedReply('the body is shorter than its Content-Length')
