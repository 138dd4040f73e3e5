"""Tests of ``ReplyParser`` with complete, cut and surplus responses."""

import unittest

from geventhttpclient.response import HTTPParseError
from nose2.tools import params

from cactusridge.platform.reply_parser import ReplyParser

WHOLE = b'HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 3\r\n\r\nabc'
OTHER = b'HTTP/1.1 404 No\r\nX-B: 1\r\nContent-Length: 3\r\n\r\nxyz'
OPEN_END = b'HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\nabc'
CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'


def parse(*parts: bytes) -> ReplyParser:
    """Return a parser after ``parts``, or up to the first parse error."""
    parser = ReplyParser('POST')
    for part in parts:
        try:
            parser.feed(part)
        except HTTPParseError:
            break
    return parser


class TestReplyParser(unittest.TestCase):
    """Which responses are complete, and which connections are reusable."""

    @params(
        ('plain', (WHOLE,), True, True),
        ('surplus at once', (b''.join((WHOLE, OTHER)),), True, False),
        ('surplus later', (WHOLE, OTHER), True, False),
        ('noise after it', (b''.join((WHOLE, b'noise\r\n')),), True, False),
        ('interim first', (b''.join((INTERIM, WHOLE)),), True, True),
        ('cut', (WHOLE[:-1], b''), False, False),
        ('ends with its connection', (OPEN_END, b''), True, False),
        ('chunks cut', (CHUNKED, b''), False, False),
        ('chunks ended', (CHUNKED, b'0\r\n\r\n'), True, True),
    )
    def test_whole(self, _, parts, whole, reusable):
        """A cut response is incomplete; surplus bytes prevent reuse."""
        parser = parse(*parts)
        self.assertEqual(whole, parser.complete)
        self.assertEqual(reusable, not parser.should_close())

    @params((b''.join((WHOLE, OTHER)),), (WHOLE, OTHER))
    def test_surplus_changes_nothing(self, *parts):
        """A second response changes nothing of the first one."""
        parser = parse(*parts)
        self.assertEqual(200, parser.status)
        self.assertEqual(b'abc', parser.take_body())
        self.assertIn(('X-A', '1'), parser.header_list())
