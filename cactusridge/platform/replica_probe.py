"""Checks whether a replica is still running at its address."""

import errno

from gevent import socket
from geventhttpclient.response import HTTPParseError

from cactusridge.fleet.replica import Replica
from cactusridge.platform import names
from cactusridge.platform.reply_parser import ReplyParser
from cactusridge.platform.short_reply import receive_head

METHOD = 'GET'
MISDIRECTED = 421
# Seconds that a replica may take to respond to a probe; it may be serving
# other requests first.
PROBE_TIMEOUT_S = 0.3


def is_running(sock: socket.socket, replica: Replica) -> bool:
    """Return whether ``replica`` is at the other end of a new connection.

    The probe has no request id, so that no replica runs it. Another process
    at the address responds with 421 (Misdirected Request). A
    replica that keeps the connection open without a response in time is busy
    and counts as running, as does one that sends bytes which are no response:
    it is in trouble, but no request has crashed it.
    """
    parser = ReplyParser(METHOD)
    sock.settimeout(PROBE_TIMEOUT_S)
    try:
        sock.sendall(_request_bytes(replica))
        receive_head(sock, parser, PROBE_TIMEOUT_S)
    except (TimeoutError, BlockingIOError) as exc:
        return is_read_timeout(exc)
    except HTTPParseError:
        return True
    except OSError:
        return False
    return parser.status != MISDIRECTED


def is_read_timeout(exc: OSError) -> bool:
    """Return whether a read timed out while the connection is intact.

    A read timeout and a connection that the kernel has broken both raise
    TimeoutError; only that of the kernel has an error number.
    """
    if isinstance(exc, TimeoutError):
        return exc.errno != errno.ETIMEDOUT
    return isinstance(exc, BlockingIOError)


def _request_bytes(replica: Replica) -> bytes:
    """Return the probe: a request without an id, which no replica runs."""
    lines = (
        f'{METHOD} / HTTP/1.1',
        f'Host: {replica.address}',
        f'{names.EXPECTED_REPLICA}: {replica.id}',
    )
    return '\r\n'.join((*lines, '', '')).encode('latin-1')
