"""The platform's list of live and leaving hosts; it lags."""

import abc
import enum
from http import HTTPStatus
from typing import NamedTuple

from cactusridge import wire
from cactusridge.http.client import Address, parse_address
from cactusridge.platform.link import PlatformLink
from cactusridge.platform.table import Priority


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
        answer = self.link.ask('GET', '/hosts', b'', Priority.lease, headers)
        if answer.status == HTTPStatus.NOT_MODIFIED:
            return self._known
        self._known = self._parsed(answer.body)
        self._tag = answer.tag
        return self._known

    def _parsed(self, body: bytes) -> list[Host]:
        return [
            Host(
                parse_address(entry['address']),
                entry['zone'],
                entry['role'],
                HostState(entry['state']),
                tuple(entry['services']),
            )
            for entry in wire.decode(body)['hosts']
        ]
