"""The platform's object store: immutable objects under unique names."""

import abc
from http import HTTPStatus

from cactusridge.errors import NotFound, StoreUnavailable
from cactusridge.store.link import NOT_FOUND, PlatformLink
from cactusridge.store.table import Priority, WriteUnknown

PUT_TRIES = 4
# The statuses of a reply that has the object or the requested range of it.
FOUND = frozenset((HTTPStatus.OK, HTTPStatus.PARTIAL_CONTENT))


class ObjectStore(abc.ABC):
    """Immutable objects by name; each name is written with one body only."""

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
        """Return bytes ``start`` to ``end`` (exclusive) of an object.

        Raises NotFound or StoreUnavailable.
        """

    @abc.abstractmethod
    def drop(self, name: str, priority: Priority) -> None:
        """Remove an object; repeating it is harmless."""

    @abc.abstractmethod
    def names(self, prefix: str, after: str = '') -> list[str]:
        """Return the next page of sorted names that start with ``prefix``.

        The page starts past the name ``after``. Raises StoreUnavailable.
        """


class HttpObjectStore(ObjectStore):
    """An object store that is read and written over HTTP."""

    def __init__(self, link: PlatformLink) -> None:
        """Send every call through ``link``."""
        self.link = link

    def put(self, name: str, body: bytes, priority: Priority) -> None:
        """Store ``body``; repeating it with the same body is harmless."""
        for _ in range(PUT_TRIES):
            try:
                self.link.call('PUT', f'/objects/{name}', body, priority)
            except WriteUnknown:
                # No other body is ever stored under this name, so a retry
                # cannot overwrite another object.
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
            raise NotFound(f'the object {name} does not exist')
        if end is not None and len(answer) != end - start:
            raise StoreUnavailable(
                f'received {len(answer)} of {end - start} bytes',
                retry_after_s=1,
            )
        return answer

    def drop(self, name: str, priority: Priority) -> None:
        """Remove an object; repeating it is harmless."""
        self.link.call_with_retry('DELETE', f'/objects/{name}', b'', priority)

    def names(self, prefix: str, after: str = '') -> list[str]:
        """Return the next page of sorted names that start with ``prefix``."""
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
        """Return the body at ``path``, or None if nothing is stored there."""
        answer = self.link.call_with_retry('GET', path, b'', priority, headers)
        if answer.status == NOT_FOUND:
            return None
        if answer.status not in FOUND:
            raise StoreUnavailable(
                f'the object store returned status {answer.status}',
                retry_after_s=1,
            )
        return answer.body
