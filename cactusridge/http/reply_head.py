"""Checks the head of a reply, strictly by RFC 9110 and RFC 9112.

The library accepts any three digits as a status, control characters in the
reason phrase, codings that it does not undo, and the body of an interim
response, which it keeps for that of the final one.
"""

import re
from collections.abc import Mapping
from typing import NamedTuple

from geventhttpclient.response import HTTPParseError

from cactusridge.http.header_section import ONLY_CODING

FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
CONTENT_LENGTH = 'content-length'
TRANSFER_ENCODING = 'transfer-encoding'
VERSIONS = frozenset(('HTTP/1.0', 'HTTP/1.1'))
REASON = re.compile(r'[\t\x20-\x7e\x80-\xff]*')


class InvalidHead(HTTPParseError):
    """The head of a reply is malformed; what follows it is unknown."""


class ReplyHead(NamedTuple):
    """The version, such as ``HTTP/1.1``, the status and the headers of a reply.

    The names of the headers have any case.
    """

    version: str
    status: int
    headers: Mapping[str, str | list[str]]

    def check(self) -> None:
        """Raise InvalidHead unless this may be the head of a reply."""
        if not FIRST_STATUS <= self.status <= LAST_STATUS:
            raise InvalidHead(f'the status is {self.status:03}')
        if self.version not in VERSIONS:
            raise InvalidHead(f'the version is {self.version}')
        coding = self.headers.get(TRANSFER_ENCODING)
        if coding is not None:
            self._check_coding(coding)
        if self.status < FIRST_FINAL_STATUS and self._has_body():
            raise InvalidHead(f'a body after the status {self.status}')

    def _check_coding(self, coding: str | list[str]) -> None:
        is_text = isinstance(coding, str)
        if not is_text or (coding.lower(), self.version) != ONLY_CODING:
            raise InvalidHead(f'{coding!r} in {self.version}')

    def _has_body(self) -> bool:
        length = self.headers.get(CONTENT_LENGTH, '0')
        return TRANSFER_ENCODING in self.headers or length != '0'


def check_reason(part: str) -> None:
    """Raise InvalidHead unless ``part`` may be part of a reason phrase."""
    if not REASON.fullmatch(part):
        raise InvalidHead(f'the reason phrase has {part!r}')
