"""The platform's list of hosts, which lags behind their actual state."""

import abc
import enum
from collections.abc import Iterable, Iterator
from http import HTTPStatus
from typing import Any, NamedTuple

from cactusridge import events, logs
from cactusridge.errors import StoreUnavailable
from cactusridge.http.client import Address, parse_address
from cactusridge.store.link import PlatformLink
from cactusridge.store.replies import (
    HostsReply,
    UnreadableReply,
    parse_reply,
)
from cactusridge.store.table import Priority

RETRY_S = 1


class HostState(enum.StrEnum):
    """The state of a host according to the platform."""

    live = 'live'
    leaving = 'leaving'


class Host(NamedTuple):
    """A host of the fleet and the services that run on it."""

    address: Address
    zone: str
    role: str
    state: HostState
    services: tuple[str, ...]


class HostList(abc.ABC):
    """A source of the fleet's hosts."""

    @abc.abstractmethod
    def hosts(self) -> list[Host]:
        """Return the hosts in the last state known to the platform.

        Raises StoreUnavailable.
        """


class HttpHostList(HostList):
    """Reads the host list over HTTP."""

    def __init__(self, link: PlatformLink) -> None:
        """Send every call through ``link``."""
        self.link = link
        self._tag = ''
        self._known: list[Host] = []

    def hosts(self) -> list[Host]:
        """Return the hosts; download the list only if its ETag has changed.

        Raises StoreUnavailable.
        """
        headers = {'If-None-Match': self._tag} if self._tag else None
        answer = self.link.call_with_retry(
            'GET', '/hosts', b'', Priority.lease, headers
        )
        if answer.status == HTTPStatus.NOT_MODIFIED:
            return self._known
        try:
            found = parse_reply(HostsReply, answer.body).hosts
        except UnreadableReply as exc:
            raise StoreUnavailable(str(exc), retry_after_s=RETRY_S) from exc
        self._known = list(_readable(found))
        self._tag = answer.tag
        return self._known


def _readable(entries: Iterable[Any]) -> Iterator[Host]:
    """Yield the hosts that can be parsed; log and skip each other entry."""
    for entry in entries:
        try:
            yield _host(entry)
        except (KeyError, TypeError, ValueError) as exc:
            logs.emit(events.HOST_UNREADABLE, host=str(entry), error=repr(exc))


def _host(entry: dict[str, Any]) -> Host:
    return Host(
        parse_address(entry['address']),
        entry['zone'],
        entry['role'],
        HostState(entry['state']),
        tuple(entry['services']),
    )
