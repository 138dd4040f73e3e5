"""Whether the process of another entry has surely exited."""

from collections.abc import Sequence

from gevent import socket
from gevent.pool import Pool

from cactusridge.http.client import parse_address

# Timeout of a connection in seconds. The round trip to any availability zone
# takes less than 10 ms, but a busy entry on a small host responds later.
CONNECT_TIMEOUT_S = 0.08
# Connections that are opened at the same time.
AT_ONCE = 16


def has_exited(entry: str) -> bool:
    """Return whether an entry's host refuses connections at its address.

    An entry that is unreachable in another way may still be running.
    """
    try:
        sock = socket.create_connection(parse_address(entry), CONNECT_TIMEOUT_S)
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    sock.close()
    return False


def exited(entries: Sequence[str]) -> list[str]:
    """Return those of ``entries`` that have exited."""
    found = Pool(AT_ONCE).map(has_exited, entries)
    return [
        entry for entry, is_gone in zip(entries, found, strict=True) if is_gone
    ]
