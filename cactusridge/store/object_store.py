"""The platform's object store: immutable objects under unique names."""

import abc
from http import HTTPStatus

from cactusridge.errors import NotFound, StoreUnavailable
from cactusridge.store.link import NOT_FOUND, PlatformLink
from cactusridge.store.table import Priority, WriteUnknown

PUT_TRIES = 4
# An object, or the part of it that was asked for.
FOUND = frozenset((HTTPStatus.OK, HTTPStatus.PARTIAL_CONTENT))


class ObjectStore(abc.ABC):
    """Objects by name; each is written once and never changed."""

    @abc.abstractmethod
    def put(self, name: str, body: bytes, priority: Priority) -> None:
        """Store ``body``; repeating it with the same body is harmless."""

    @abc.abstractmethod
    def get(
        self,
        name: str,
        start: int = 0,
        end: int | None = None,
        priority: Priority = Priority.commit,
    ) -> bytes:
        """Return bytes ``start`` to ``end`` (exclusive) of an object."""

    @abc.abstractmethod
    def drop(self, name: str, priority: Priority) -> None:
        """Remove an object; repeating it is harmless."""

    @abc.abstractmethod
    def names(self, prefix: str, after: str = '') -> list[str]:
        """Return a page of sorted names below ``prefix``."""


class HttpObjectStore(ObjectStore):
    """An object store reached over HTTP."""

    def __init__(self, link: PlatformLink) -> None:
        """Send every call through ``link``."""
        self.link = link

    def put(self, name: str, body: bytes, priority: Priority) -> None:
        """Store ``body``; repeating it with the same body is harmless."""
        for _ in range(PUT_TRIES):
            try:
                self.link.call('PUT', f'/objects/{name}', body, priority)
            except WriteUnknown:
                # The name is unique to this body: sending it again
                # cannot overwrite anything else.
                continue
            return
        raise StoreUnavailable(retry_after_s=1)

    def get(
        self,
        name: str,
        start: int = 0,
        end: int | None = None,
        priority: Priority = Priority.commit,
    ) -> bytes:
        """Return bytes ``start`` to ``end`` (exclusive) of an object."""
        headers = {}
        if start or end is not None:
            last = '' if end is None else str(end - 1)
            headers = {'Range': f'bytes={start}-{last}'}
        if end is not None and end <= start:
            return b''
        answer = self._ask(f'/objects/{name}', headers, priority)
        if answer is None:
            raise NotFound(f'no object {name}')
        if end is not None and len(answer) != end - start:
            raise StoreUnavailable(
                f'{len(answer)} bytes of {end - start} came',
                retry_after_s=1,
            )
        return answer

    def drop(self, name: str, priority: Priority) -> None:
        """Remove an object; repeating it is harmless."""
        self.link.call_with_retry('DELETE', f'/objects/{name}', b'', priority)

    def names(self, prefix: str, after: str = '') -> list[str]:
        """Return a page of sorted names below ``prefix``."""
        path = f'/object-names?prefix={prefix}&after={after}'
        raw = self._ask(path, {}, Priority.report) or b''
        try:
            return raw.decode().split()
        except UnicodeDecodeError as exc:
            raise StoreUnavailable(str(exc), retry_after_s=1) from exc

    def _ask(
        self,
        path: str,
        headers: dict[str, str],
        priority: Priority,
    ) -> bytes | None:
        answer = self.link.call_with_retry('GET', path, b'', priority, headers)
        if answer.status == NOT_FOUND:
            return None
        if answer.status not in FOUND:
            raise StoreUnavailable(
                f'the object store answered {answer.status}',
                retry_after_s=1,
            )
        return answer.body
