"""Checks the head of a reply, strictly by RFC 9110 and RFC 9112.

The library accepts any three digits as a status, and the body of an interim
response, which it keeps for that of the final one.
"""

from collections.abc import Mapping
from typing import NamedTuple

from geventhttpclient.response import HTTPParseError

FIRST_STATUS = 100
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
CONTENT_LENGTH = 'content-length'
TRANSFER_ENCODING = 'transfer-encoding'


class InvalidHead(HTTPParseError):
    """The head of a reply is malformed; what follows it is unknown."""


class ReplyHead(NamedTuple):
    """The status and the headers of a reply, whose names have any case."""

    status: int
    headers: Mapping[str, str | list[str]]

    def check(self) -> None:
        """Raise InvalidHead unless this may be the head of a reply."""
        if not FIRST_STATUS <= self.status <= LAST_STATUS:
            raise InvalidHead(f'the status is {self.status:03}')
        if self.status < FIRST_FINAL_STATUS and self._has_body():
            raise InvalidHead(f'a body after the status {self.status}')

    def _has_body(self) -> bool:
        length = self.headers.get(CONTENT_LENGTH, '0')
        return TRANSFER_ENCODING in self.headers or length != '0'
