"""Tests of which bytes every parser of replies takes for a reply."""

import itertools
import unittest

from geventhttpclient.response import HTTPParseError
from nose2.tools import params

from cactusridge.platform.reply_parser import ReplyParser

BODY = b'Content-Length: 3\r\n\r\nabc'
OK = b'HTTP/1.1 200 OK\r\n'
WHOLE = b'%b%b' % (OK, BODY)
NO_STATUS = tuple(
    b'HTTP/1.1 %b X\r\n%b' % (status, BODY)
    for status in (b'000', b'099', b'600', b'999', b'20', b'2000', b'-20')
)
INTERIM = b'HTTP/1.1 100 Continue\r\n%b'
HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
INTERIM_WITH_BODY = (
    INTERIM % BODY,
    INTERIM % BODY[:-3],
    INTERIM % b'Content-Length: %d\r\n\r\n%b' % (len(WHOLE), WHOLE),
    INTERIM % b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    b'HTTP/1.1 101 Switch\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n',
)
CHUNKS = b'\r\n\r\n3\r\nabc\r\n0\r\n\r\n'
CODINGS = tuple(
    b'%bTransfer-Encoding: %b%b' % (OK, coding, CHUNKS)
    for coding in (
        b'gzip',
        b'identity',
        b'xchunked',
        b'gzip, chunked',
        b'chunked, gzip',
        b'chunked, chunked',
        b'chunked\r\nTransfer-Encoding: chunked',
        b'',
    )
)
STATUS_LINES = tuple(
    b'%b\r\n%b' % (line, BODY)
    for line in (
        b'HTTP/0.9 200 OK',
        b'HTTP/2.0 200 OK',
        b'HTTP/1.1 200 O\x01K',
        b'HTTP/1.1 200 O\x00K',
        b'HTTP/1.1 200 O\x7fK',
    )
)
OLD_CHUNKS = b'HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked%b' % CHUNKS
WHOLE_REPLIES = (
    (WHOLE,),
    (INTERIM % b'\r\n', WHOLE),
    (INTERIM % b'Content-Length: 0\r\n\r\n', WHOLE),
    (HINTS, WHOLE),
    (HINTS, INTERIM % b'\r\n', WHOLE),
    (b'HTTP/1.1 200\r\n', BODY),
    (b'HTTP/1.0 200 OK\r\n', BODY),
    (b'HTTP/1.1 599 X\r\n', BODY),
    (OK, b'Transfer-Encoding: Chunked', CHUNKS),
    (b'HTTP/1.1 200 \xe9\t ok\r\n', BODY),
)


def whole(raw: bytes) -> tuple[bytes, ...]:
    """Return ``raw`` as one part."""
    return (raw,)


def in_bytes(raw: bytes) -> list[bytes]:
    """Return each byte of ``raw`` as a part."""
    return [bytes((each,)) for each in raw]


class TestStrictReplies(unittest.TestCase):
    """Bytes that are no reply, at once and byte by byte."""

    @params(
        *itertools.product(NO_STATUS, (whole, in_bytes)),
        *itertools.product(INTERIM_WITH_BODY, (whole, in_bytes)),
        *itertools.product((*CODINGS, OLD_CHUNKS), (whole, in_bytes)),
        *itertools.product(STATUS_LINES, (whole, in_bytes)),
    )
    def test_refused(self, raw, split):
        """An error is raised before any of it can be taken for a reply."""
        parser = ReplyParser('POST')
        with self.assertRaises(HTTPParseError):
            for part in split(raw):
                parser.feed(part)
        self.assertFalse(parser.head_complete)

    @params(*WHOLE_REPLIES)
    def test_accepted(self, *parts):
        """The body is that of the final reply."""
        parser = ReplyParser('POST')
        for part in parts:
            parser.feed(part)
        self.assertTrue(parser.complete)
        self.assertEqual(b'abc', parser.take_body())
