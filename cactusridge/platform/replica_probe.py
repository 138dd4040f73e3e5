"""Whether a replica itself is still at its address."""

import errno

from gevent import socket
from geventhttpclient.response import HTTPParseError

from cactusridge.fleet.replica import Replica
from cactusridge.platform import names
from cactusridge.platform.reply_parser import ReplyParser

METHOD = 'GET'
MISDIRECTED = 421
BLOCK = 4096
# How long a replica may take to say that it is there, in seconds: other
# requests go before.
PROBE_S = 0.3


def is_there(sock: socket.socket, replica: Replica) -> bool:
    """Tell whether ``replica`` is at the other end of a new connection.

    Asked without an id, it runs nothing; another process there says that
    it is not the one. A replica that keeps the connection and is too busy
    to answer is there.
    """
    parser = ReplyParser(METHOD)
    sock.settimeout(PROBE_S)
    try:
        sock.sendall(_request_bytes(replica))
        _read_head(sock, parser)
    except TimeoutError as exc:
        return is_wait_over(exc)
    except (OSError, HTTPParseError):
        return False
    return parser.status != MISDIRECTED


def is_wait_over(exc: OSError) -> bool:
    """Tell a wait that is over from a connection that the kernel gave up.

    Both raise TimeoutError; only the kernel's bears an error number.
    """
    if isinstance(exc, TimeoutError):
        return exc.errno != errno.ETIMEDOUT
    return isinstance(exc, BlockingIOError)


def _request_bytes(replica: Replica) -> bytes:
    """Return a request that no replica runs."""
    lines = (
        f'{METHOD} / HTTP/1.1',
        f'Host: {replica.address}',
        f'{names.EXPECTED_REPLICA}: {replica.id}',
    )
    return '\r\n'.join((*lines, '', '')).encode('latin-1')


def _read_head(sock: socket.socket, parser: ReplyParser) -> None:
    """Read the head of an answer; raise OSError or HTTPParseError."""
    while not parser.headed:
        received = sock.recv(BLOCK)
        if not received:
            raise ConnectionResetError('closed before an answer')
        parser.feed(received)
