"""The table service over its HTTP protocol."""

from collections.abc import Sequence
from typing import Any

from cactusridge import wire
from cactusridge.platform.link import PlatformLink
from cactusridge.platform.table import (
    PAGE,
    Condition,
    ConditionFailed,
    Priority,
    Row,
    Table,
    Write,
)

CONFLICT = 409


class HttpTable(Table):
    """A table reached over HTTP."""

    def __init__(self, link: PlatformLink) -> None:
        """Send every call through ``link``."""
        self.link = link

    def transact(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        priority: Priority,
    ) -> int:
        """Apply all writes if all conditions hold; return the version."""
        message = {
            'conditions': list(map(list, conditions)),
            'writes': list(map(list, writes)),
        }
        answer = self.link.call(
            'POST',
            '/table/transact',
            wire.encode(message),
            priority,
        )
        reply = wire.decode(answer.body)
        if answer.status == CONFLICT:
            raise ConditionFailed([Row(*row) for row in reply['rows']])
        return reply['version']

    def read(self, keys: Sequence[str], priority: Priority) -> list[Row]:
        """Return the rows at ``keys``, in that order."""
        reply = self._ask('/table/read', {'keys': keys}, priority)
        return [Row(*row) for row in reply['rows']]

    def scan(
        self,
        prefix: str,
        priority: Priority,
        after: str = '',
        limit: int = PAGE,
    ) -> list[Row]:
        """Return up to ``limit`` rows below ``prefix``, sorted by key."""
        message = {'prefix': prefix, 'after': after, 'limit': limit}
        reply = self._ask('/table/scan', message, priority)
        return [Row(*row) for row in reply['rows']]

    def _ask(self, path: str, message: Any, priority: Priority) -> Any:
        raw = wire.encode(message)
        answer = self.link.ask('POST', path, raw, priority)
        return wire.decode(answer.body)
