"""The platform's object service as an ``ObjectStore``."""

from http import HTTPStatus
from urllib.parse import urlencode

from cactusridge import wire
from cactusridge.errors import BadRequest, NotFound, StoreUnavailable
from cactusridge.store.fields import Fields
from cactusridge.store.link import PlatformLink
from cactusridge.store.object_store import ObjectStore
from cactusridge.store.table import Priority
from cactusridge.store.unreadable import UnreadableField

RETRY_S = 0.5


class PlatformObjects(ObjectStore):
    """Objects by name; each object is written once."""

    def __init__(self, link: PlatformLink) -> None:
        """Send every call over ``link``."""
        self._link = link

    def put(self, name: str, body: bytes, priority: Priority) -> None:
        """Store ``body``; repeating the call with the same body is harmless.

        Raises StoreUnavailable.
        """
        answer = self._link.call_with_retry(
            'PUT', _path('put', name), body, priority
        )
        if answer.status != HTTPStatus.OK:
            raise _failure(answer.status)

    def get(
        self,
        name: str,
        start: int = 0,
        end: int | None = None,
        priority: Priority = Priority.commit,
    ) -> bytes:
        """Return the bytes of an object from ``start`` up to ``end``.

        Raises NotFound or StoreUnavailable.
        """
        answer = self._link.call_with_retry(
            'GET', _path('get', name), b'', priority
        )
        if answer.status == HTTPStatus.NOT_FOUND:
            raise NotFound(f'no object {name}')
        if answer.status != HTTPStatus.OK:
            raise _failure(answer.status)
        return answer.body[start:end]

    def drop(self, name: str, priority: Priority) -> None:
        """Remove an object; repeating the call is harmless."""
        self._link.call_with_retry('DELETE', _path('drop', name), b'', priority)

    def names(self, prefix: str, after: str = '') -> list[str]:
        """Return the next page of sorted names below ``prefix``.

        All names sort after ``after``. Raises StoreUnavailable.
        """
        query = urlencode({'path_prefix': prefix, 'after': after})
        path = f'/api/blob-list?{query}'
        answer = self._link.call_with_retry('GET', path, b'', Priority.report)
        if answer.status != HTTPStatus.OK:
            raise _failure(answer.status)
        try:
            names = Fields(wire.decode(answer.body)).items_of('names')
        except (BadRequest, UnreadableField) as exc:
            raise StoreUnavailable(
                f'unreadable answer: {exc!r}',
                retry_after_s=RETRY_S,
            ) from exc
        return [name for name in names if isinstance(name, str)]


def _path(call: str, name: str) -> str:
    return f'/api/blob-{call}/{name}'


def _failure(status: int) -> StoreUnavailable:
    return StoreUnavailable(
        f'the object store answered {status}',
        retry_after_s=RETRY_S,
    )
