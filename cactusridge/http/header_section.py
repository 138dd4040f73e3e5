"""Reads the header section of a request, strictly by RFC 9112.

The library stops at the first line that is no header and takes the rest of
the section for part of the body. It also takes a bare carriage return for the
end of a line, and the end of the connection for that of the section. Each of
these can hide a second request, or another length of the body.
"""

import io
import re
from collections.abc import Sequence
from typing import BinaryIO

# Limits of the library, which reports a section over them.
MAX_LINE_BYTES = 65_536
MAX_LINES = 100
# A token, a colon without white space before it, and a value without control
# characters other than a tab.
HEADER_LINE = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r?\n"
)
LENGTH = re.compile('[0-9]+')
# The only transfer coding, and the version of HTTP that has it.
ONLY_CODING = ('chunked', 'HTTP/1.1')
FRAMING = ('host', 'content-length', 'transfer-encoding')
ENDS = frozenset((b'\r\n', b'\n'))


def read_section(rfile: BinaryIO) -> BinaryIO:
    """Return the header section at the start of ``rfile``, and its end.

    Raises ValueError if a line is malformed or the section is cut off.
    """
    section = []
    while len(section) <= MAX_LINES:
        line = rfile.readline(MAX_LINE_BYTES + 1)
        section.append(line)
        if line in ENDS or len(line) > MAX_LINE_BYTES:
            break
        if not HEADER_LINE.fullmatch(line):
            raise ValueError(f'not a header line: {line[:MAX_LINES]!r}')
    return io.BytesIO(b''.join(section))


def check_framing(
    headers: Sequence[tuple[str, str]], http_version: str
) -> None:
    """Raise ValueError unless the headers tell where the body ends.

    ``http_version`` is that of the request line, such as ``HTTP/1.1``.
    """
    texts = {name: _texts(headers, name) for name in FRAMING}
    lengths, codings = texts['content-length'], texts['transfer-encoding']
    if max(map(len, texts.values())) > 1 or (lengths and codings):
        raise ValueError(f'contradictory headers: {texts}')
    if not all(map(LENGTH.fullmatch, lengths)):
        raise ValueError(f'the length of the body is {lengths}')
    if codings and (codings[0].lower(), http_version) != ONLY_CODING:
        raise ValueError(f'{codings} in {http_version}')


def _texts(headers: Sequence[tuple[str, str]], wanted: str) -> list[str]:
    """Return the values of the headers with a name in lower case."""
    return [text.strip() for name, text in headers if name.lower() == wanted]
