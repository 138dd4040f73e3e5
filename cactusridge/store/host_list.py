"""The platform's list of live and leaving hosts; it lags."""

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
    """What the platform says of a host."""

    live = 'live'
    leaving = 'leaving'


class Host(NamedTuple):
    """A host of the fleet and what runs on it."""

    address: Address
    zone: str
    role: str
    state: HostState
    services: tuple[str, ...]


class HostList(abc.ABC):
    """Where hosts are learned from."""

    @abc.abstractmethod
    def hosts(self) -> list[Host]:
        """Return the hosts as the platform last saw them."""


class HttpHostList(HostList):
    """The host list over HTTP."""

    def __init__(self, link: PlatformLink) -> None:
        """Send every call through ``link``."""
        self.link = link
        self._tag = ''
        self._known: list[Host] = []

    def hosts(self) -> list[Host]:
        """Return the hosts; the list is sent again only when changed."""
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
    """Yield the hosts that can be read; one that cannot hides no other."""
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
