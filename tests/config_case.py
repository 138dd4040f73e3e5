"""A test case in which configurations change while requests are in work."""

import contextlib
import socket
from collections.abc import Iterable
from http.client import HTTPException, HTTPResponse
from typing import Any, NamedTuple

import gevent

from standins.machines.site import HOST, ROUTES
from tests.machine_case import MachineCase

# Seconds until a configuration is in force at all entries.
APPLY_S = 0.3
ANSWER_WAIT_S = 8
OTHER_SERVICE = 'other'
CLOSED = 0


class Got(NamedTuple):
    """What a caller got: a status, CLOSED without one, and the body."""

    status: int
    body: bytes
    whole: bool
    headers: dict[str, str]


class Sender:
    """A caller that sends its request in pieces on a kept connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Connect to an entry."""
        self.sock = socket.create_connection(address, ANSWER_WAIT_S)

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def send(self, raw: bytes) -> None:
        """Send some bytes of a request, if the connection is open."""
        with contextlib.suppress(OSError):
            self.sock.sendall(raw)

    def read(self) -> Got:
        """Return the answer to the request that was sent."""
        resp = HTTPResponse(self.sock)
        try:
            resp.begin()
        except (OSError, HTTPException):
            return Got(CLOSED, b'', whole=False, headers={})
        headers = {name.lower(): text for name, text in resp.getheaders()}
        parts = []
        try:
            while part := resp.read1():
                parts.append(part)
        except (OSError, HTTPException):
            return Got(resp.status, b''.join(parts), False, headers)
        return Got(resp.status, b''.join(parts), True, headers)


def request(
    request_id: str,
    body: bytes,
    target: str = '/on/',
    headers: Iterable[tuple[str, str]] = (),
) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f'POST {target} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Attempt-Id: {request_id}',
        'X-Request-Deadline: 4500',
        f'Content-Length: {len(body)}',
        *(f'{name}: {text}' for name, text in headers),
    ]
    return '\r\n'.join((*lines, '', '')).encode() + body


def each_route(**fields: Any) -> tuple[dict[str, Any], ...]:
    """Return ROUTES with changed fields."""
    return tuple({**route, **fields} for route in ROUTES)


def split(first: float, second: float) -> tuple[dict[str, Any], ...]:
    """Return ROUTES split between both services by these weights."""
    return each_route(
        traffic_split=[
            {'service': 'model', 'weight': first},
            {'service': OTHER_SERVICE, 'weight': second},
        ]
    )


class ConfigCase(MachineCase):
    """A site with replicas of two services, and callers that send in pieces."""

    replicas = 4
    entries: tuple[str, ...] = ('one',)

    def setUp(self):
        """Give half of the replicas to another service."""
        super().setUp()
        for replica in self.site.replicas[2:]:
            number = self.site.replicas.index(replica)
            entry = self.site.list_entry(
                replica, self.site.replica_address(number), 'ready'
            )
            entry['service'] = OTHER_SERVICE
            self.site.store.put(('servers', '', replica.id), entry)
        gevent.sleep(APPLY_S)

    def sender(self, entry: str = 'one') -> Sender:
        """Return a caller with a new connection to an entry."""
        found = Sender(self.site.addresses[entry])
        self.addCleanup(found.close)
        return found

    def configure(
        self,
        routes: Iterable[dict[str, Any]] = ROUTES,
        holders: Any = None,
        limits: dict[str, Any] | None = None,
    ) -> None:
        """Write a configuration and wait until it is in force."""
        self.site.configure(tuple(routes), holders, limits)
        gevent.sleep(APPLY_S)
